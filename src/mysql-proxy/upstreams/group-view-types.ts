/** Types of the view of a database group (`group-view.ts`). */
import type { Group, UpstreamDeclaration } from '../../core/config/index.ts'
import type { RequestError } from '../../core/errors/index.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import type { StatusChannel } from './status-channel.ts'

/** Leadership of a group. */
export interface Leadership {
  term: number
  /** Name of the primary. */
  primary: string
}

/** What the view knows of one upstream. */
export interface UpstreamView {
  declaration: UpstreamDeclaration
  channel: StatusChannel
  /** Whether it answered last time. */
  reachable: boolean
  /** Whether it has been fenced while it led: its successor is not known yet. */
  deposed: boolean
}

/** Options of a group's view. */
export interface GroupViewOptions {
  name: string
  group: Group
  dialer: Dialer
  /** Time a status question may take, in milliseconds. */
  statusTimeoutMs: number
  /** Called with every status question that an upstream did not answer. */
  onFailure?: (upstream: string, error: RequestError) => void
  /** Called when an upstream stops answering. */
  onUnreachable?: (upstream: string, reason: string) => void
  /** Called when a new term is seen. */
  onLeadership?: (leadership: Leadership) => void
}
