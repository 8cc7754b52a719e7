/** The ports of the entry process: what it needs from the outside. */
export * from './statements.ts'
export * from './types.ts'
export { UpstreamUnreachable, type UnreachableFault } from './upstream-unreachable.ts'
