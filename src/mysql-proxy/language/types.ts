/** The commands of the operators' language. */

/** Tables that can be shown. */
export const TABLE_NAMES = [
  'groups', 'upstreams', 'services', 'sessions', 'connections', 'proxies', 'configuration', 'history'
] as const

/** One of {@link TABLE_NAMES}. */
export type TableName = typeof TABLE_NAMES[number]

/** Comparisons of a condition. */
export const COMPARISONS = ['=', '!=', '<', '>', '<=', '>='] as const

/** A condition on a column. */
export interface Condition {
  column: string
  comparison: typeof COMPARISONS[number]
  value: string | number | boolean
}

/** Shows rows of a table. */
export interface ShowCommand {
  type: 'show'
  table: TableName
  conditions: Condition[]
  orderBy?: { column: string, descending: boolean }
  limit?: number
}

/** Changes a declared value. */
export interface SetCommand {
  type: 'set'
  /** Group, then the path below it. */
  path: string[]
  value: string | number | boolean
  reason?: string
}

/** Restores the default of a declared value. */
export interface UnsetCommand {
  type: 'unset'
  path: string[]
  reason?: string
}

/** Takes something out of work, or back into it. */
export interface DrainCommand {
  type: 'drain' | 'restore'
  what: 'upstream' | 'proxy'
  name: string
}

/** Makes another upstream the primary; the keeper chooses when none is named. */
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

/** Shows rows repeatedly, as they change; the client repeats the query. */
interface WatchCommand {
  type: 'watch'
  show: ShowCommand
}

/** Any command. */
export type Command =
  | ShowCommand | SetCommand | UnsetCommand | DrainCommand | PromoteCommand | ExplainCommand | WatchCommand
