/** The ports of the entry process: what it needs from the outside. */
export * from './statements.ts'
export * from './types.ts'
