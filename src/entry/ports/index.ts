/** Ports of the entry process: its interfaces to callers, upstreams and the platform. */
export * from './statements.ts'
export * from './types.ts'
export { UpstreamUnreachable, type UnreachableFault } from './upstream-unreachable.ts'
