/** Errors: the catalogue, the error classes and the verdict type. */
export { catalogue, type ErrorDetails, type ErrorName, type FileMistake } from './catalogue.ts'
export type { Verdict } from './verdict.ts'
export { RequestError, WorkswardError, describeStack, describeThrown, toRequestError } from './worksward-error.ts'
