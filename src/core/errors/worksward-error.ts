/** The error classes of worksward. */
import { catalogue, type CatalogueEntry, type ErrorDetails, type ErrorName } from './catalogue.ts'
import type { Verdict } from './verdict.ts'

/** MySQL's code for an unknown error. */
const UNKNOWN_ERROR_CODE = 1105

/** An error of the catalogue, with a hint for the reader. */
export class WorkswardError<Name extends ErrorName = ErrorName> extends Error {
  /** Name of the catalogue entry. */
  readonly entry: Name
  /** Arguments of this occurrence. */
  readonly details: ErrorDetails<Name>

  constructor (entry: Name, details: ErrorDetails<Name>) {
    super(lookUp(entry).message(details))
    this.name = entry
    this.entry = entry
    this.details = details
  }

  /** What the reader can do about it. */
  get hint (): string {
    return lookUp(this.entry).hint
  }

  /** Title of the catalogue entry. */
  get title (): string {
    return lookUp(this.entry).title
  }

  /** MySQL error code shown to callers. */
  get mysqlCode (): number {
    return lookUp(this.entry).mysqlCode ?? UNKNOWN_ERROR_CODE
  }
}

/** A request that failed, with the verdict on whether it may have run. */
export class RequestError<Name extends ErrorName = ErrorName> extends WorkswardError<Name> {
  readonly verdict: Verdict

  constructor (verdict: Verdict, entry: Name, details: ErrorDetails<Name>) {
    super(entry, details)
    this.verdict = verdict
  }

  override get mysqlCode (): number {
    if (this.entry === 'StatementFailed') {
      return (this.details as ErrorDetails<'StatementFailed'>).code
    }
    return super.mysqlCode
  }
}

/**
 * Turns any thrown value into a request error.
 *
 * @param thrown - what was caught
 * @param verdict - the verdict to give a value that carries none
 * @param override - whether to give that verdict whatever the value carries
 * @returns the request error
 */
export function toRequestError (thrown: unknown, verdict: Verdict, override = false): RequestError {
  if (thrown instanceof RequestError && !override) {
    return thrown
  }
  if (thrown instanceof WorkswardError) {
    return new RequestError(verdict, thrown.entry, thrown.details)
  }
  return new RequestError(verdict, 'UnsupportedStatement', { reason: describeThrown(thrown) })
}

/**
 * Describes any thrown value in one line.
 *
 * @param thrown - what was caught
 * @returns its message
 */
export function describeThrown (thrown: unknown): string {
  if (thrown instanceof AggregateError && thrown.message === '') {
    return thrown.errors.map(describeThrown).join('; ')
  }
  return thrown instanceof Error ? thrown.message : String(thrown)
}

function lookUp<Name extends ErrorName> (name: Name): CatalogueEntry<ErrorDetails<Name>> {
  return catalogue[name] as unknown as CatalogueEntry<ErrorDetails<Name>>
}
