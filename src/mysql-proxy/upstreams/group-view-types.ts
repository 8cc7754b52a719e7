/** Types of a process's view of a database group (`group-view.ts`). */
import type { Group, UpstreamDeclaration } from '../../core/config/index.ts'
import type { RequestError } from '../../core/errors/index.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import type { StatusChannel } from './status-channel.ts'

/** Primary of a group in a term. */
export interface Leadership {
  term: number
  /** Name of the primary. */
  primary: string
}

/** State of one upstream as seen by this process. */
export interface UpstreamView {
  declaration: UpstreamDeclaration
  channel: StatusChannel
  /** Whether the last status query succeeded. */
  reachable: boolean
  /** Whether it was the primary and has been fenced, while its successor is still unknown. */
  deposed: boolean
}

/** Options of `GroupView`. */
export interface GroupViewOptions {
  name: string
  group: Group
  dialer: Dialer
  /** Timeout of a status query, in milliseconds. */
  statusTimeoutMs: number
  /** Called after every failed status query. */
  onFailure?: (upstream: string, error: RequestError) => void
  /** Called when a reachable upstream becomes unreachable. */
  onUnreachable?: (upstream: string, reason: string) => void
  /** Called when the view adopts a new term and primary. */
  onLeadership?: (leadership: Leadership) => void
}
