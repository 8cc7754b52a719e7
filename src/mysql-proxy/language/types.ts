/** Parsed forms of the operators' commands. */

/** Tables that `show` can query. */
export const TABLE_NAMES = [
  'groups', 'upstreams', 'services', 'sessions', 'connections', 'proxies', 'configuration', 'history'
] as const

export type TableName = typeof TABLE_NAMES[number]

/** Comparison operators of conditions. */
export const COMPARISONS = ['=', '!=', '<', '>', '<=', '>='] as const

/** Compares a column with a constant. */
export interface Condition {
  column: string
  comparison: typeof COMPARISONS[number]
  value: string | number | boolean
}

/** Shows rows of a table, filtered, ordered and limited. */
export interface ShowCommand {
  type: 'show'
  table: TableName
  conditions: Condition[]
  orderBy?: { column: string, descending: boolean }
  limit?: number
}

/** Changes one value of a group's declarations. */
export interface SetCommand {
  type: 'set'
  /** Name of the group, followed by the keys that lead to the value. */
  path: string[]
  value: string | number | boolean
  reason?: string
}

/** Resets one value of a group's declarations to its default. */
export interface UnsetCommand {
  type: 'unset'
  path: string[]
  reason?: string
}

/** Stops new work on an upstream or a proxy, or allows it again. */
export interface DrainCommand {
  type: 'drain' | 'restore'
  what: 'upstream' | 'proxy'
  name: string
}

/** Promotes an upstream to primary; the keeper chooses one when none is named. */
export interface PromoteCommand {
  type: 'promote'
  group: string
  upstream?: string
}

/** Shows which upstream a request would be sent to. */
export interface ExplainCommand {
  type: 'explain'
  group: string
  service: string
  kind?: string
}

/** Shows rows continuously; the client repeats the query, and the server answers it once. */
interface WatchCommand {
  type: 'watch'
  show: ShowCommand
}

export type Command =
  | ShowCommand | SetCommand | UnsetCommand | DrainCommand | PromoteCommand | ExplainCommand | WatchCommand
