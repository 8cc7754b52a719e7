/** Error classes. */
import { catalogue, type CatalogueEntry, type ErrorDetails, type ErrorName } from './catalogue.ts'
import type { Verdict } from './verdict.ts'

/** MySQL code ER_UNKNOWN_ERROR. */
const UNKNOWN_ERROR_CODE = 1105
/** Number of lines of a stack that are logged. */
const STACK_LINES = 3

/** An error of the catalogue. */
export class WorkswardError<Name extends ErrorName = ErrorName> extends Error {
  /** Name of the catalogue entry. */
  readonly entry: Name
  /** Message arguments of this occurrence. */
  readonly details: ErrorDetails<Name>

  constructor (entry: Name, details: ErrorDetails<Name>) {
    super(lookUp(entry).message(details))
    this.name = entry
    this.entry = entry
    this.details = details
  }

  /** How to resolve the error. */
  get hint (): string {
    return lookUp(this.entry).hint
  }

  /** Title of the catalogue entry. */
  get title (): string {
    return lookUp(this.entry).title
  }

  /** MySQL error code sent to callers. */
  get mysqlCode (): number {
    return lookUp(this.entry).mysqlCode ?? UNKNOWN_ERROR_CODE
  }
}

/** A failed request, with the verdict on whether it may have run. */
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
 * Converts any thrown value to a request error.
 *
 * @param thrown - the caught value
 * @param verdict - verdict for a value that has none
 * @param override - whether the verdict replaces that of a request error
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
 * Returns the message of any thrown value.
 *
 * @param thrown - the caught value
 * @returns its message; those of an aggregate error without a message are joined
 */
export function describeThrown (thrown: unknown): string {
  if (thrown instanceof AggregateError && thrown.message === '') {
    return thrown.errors.map(describeThrown).join('; ')
  }
  return thrown instanceof Error ? thrown.message : String(thrown)
}

/**
 * Returns the first lines of an error's stack, as one line for the log.
 *
 * @param thrown - the caught value
 * @returns the lines; undefined for a value without a stack
 */
export function describeStack (thrown: unknown): string | undefined {
  return thrown instanceof Error ? thrown.stack?.split('\n').slice(1, 1 + STACK_LINES).join(' ') : undefined
}

function lookUp<Name extends ErrorName> (name: Name): CatalogueEntry<ErrorDetails<Name>> {
  return catalogue[name] as unknown as CatalogueEntry<ErrorDetails<Name>>
}
