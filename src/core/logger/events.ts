/** The one catalogue of events: every line of the logs carries one of these names. docs/EVENTS.md is made from it. */
import type { LogLevel } from './types.ts'

/** What a reader of the logs needs to know of an event. */
interface EventDescription {
  level: LogLevel
  /** Names of the pairs on the line. */
  pairs: string
  when: string
}

/** All events by name. */
export const events = {
  'caller.link-error': { level: 'debug', pairs: 'reason', when: 'a caller\'s connection broke' },
  'callers.drained': { level: 'info', pairs: 'left', when: 'no caller is left, or the time to drain has passed' },
  'configuration.accepted': { level: 'info', pairs: 'change, operator, revision', when: 'an operator\'s change was accepted' },
  'configuration.applied': { level: 'info', pairs: 'group, version, change', when: 'a version of a group\'s declarations is in force on this process' },
  'desired-state.in-force': { level: 'info', pairs: 'version, routes, rowVersion', when: 'a desired state is in force on this process' },
  'desired-state.unreadable': { level: 'error', pairs: 'rowVersion, reason', when: 'a desired state cannot be read; the one before stays in force' },
  'directory.changed': { level: 'info', pairs: 'upstream, group, change, draining, claimsPrimary', when: 'what is known of an upstream has changed' },
  'directory.unreadable': { level: 'warn', pairs: 'upstream', when: 'the row of an upstream cannot be read' },
  'failover.already-promoted': { level: 'info', pairs: 'group, upstream, term', when: 'an upstream leads a newer term already: an earlier promotion took effect' },
  'failover.answer-lost': { level: 'warn', pairs: 'group, step, reason', when: 'the answer to a write of the group\'s row is lost; the row is read to settle it' },
  'failover.done': { level: 'info', pairs: 'group, primary, upstream, epoch, term', when: 'a group has another primary, and work there may begin' },
  'failover.failed': { level: 'warn', pairs: 'group, term, reason', when: 'a failover broke off; it is tried again' },
  'failover.leadership': { level: 'info', pairs: 'group, term, primary', when: 'a keeper sees a new primary' },
  'failover.no-effect': { level: 'warn', pairs: 'group, upstream', when: 'a promotion has not taken effect in time' },
  'failover.no-successor': { level: 'warn', pairs: 'group, candidates, fit', when: 'no upstream could be promoted' },
  'failover.not-running': { level: 'warn', pairs: 'group, upstream', when: 'the platform says that an upstream does not run' },
  'failover.old-primary': { level: 'info', pairs: 'group, upstream, term, stopped, role, position', when: 'the old primary was asked to stop' },
  'failover.promoting': { level: 'info', pairs: 'group, upstream, fence, position', when: 'a promotion is ordered' },
  'failover.started': { level: 'warn', pairs: 'group, reason, primary, epoch, term, registryVersion', when: 'a keeper or an entry process begins to make another upstream the primary' },
  'failover.would-promote': { level: 'warn', pairs: 'group, term, reason', when: 'the duty is \'observe\': what would have been done' },
  'feed.behind': { level: 'info', pairs: 'table, version, told, peer', when: 'a peer has reported a change that did not arrive here in time; the table is read whole' },
  'feed.history-lost': { level: 'warn', pairs: 'table, version', when: 'the store has forgotten the changes since a version; the table is read whole' },
  'feed.unavailable': { level: 'warn', pairs: 'table, reason', when: 'a table of the store cannot be followed; the question is repeated' },
  'feed.peer-behind': { level: 'info', pairs: 'table, peer, version, told', when: 'a host that follows a table has answered with less than another host has reported; the next one is asked' },
  'feed.recovered': { level: 'info', pairs: 'table, version', when: 'a table can be followed again' },
  'freshness.proofs-requested': { level: 'info', pairs: 'group, peers, found, position, before', when: 'this host had no proof of freshness and asked peers for theirs' },
  'freshness.not-proven': { level: 'info', pairs: 'group, upstream, reason', when: 'a home could not learn where the log of its primary ends' },
  'group.leadership': { level: 'info', pairs: 'group, term, primary', when: 'a home follows a new primary' },
  'home.all-probed': { level: 'info', pairs: 'silent, asked', when: 'several homes are silent at once, so all others are asked whether they are alive' },
  'home.failed': { level: 'info', pairs: 'peer, reason', when: 'a home of an upstream could not be reached or has not answered; it is skipped until it answers' },
  'home.slow': { level: 'info', pairs: 'peer, silentMs', when: 'a home of an upstream has not answered soon enough; it is skipped until it answers, and what can run elsewhere leaves it' },
  'home.transaction-ended': { level: 'info', pairs: 'id, reason', when: 'a home has ended a transaction of another host' },
  'leadership.aborted': { level: 'warn', pairs: 'upstream, inUse, reason', when: 'statements in progress at a primary were broken off' },
  'leadership.closing': { level: 'info', pairs: 'group, epoch, confirmedAgeMs', when: 'a peer asks this host to stop working at a primary' },
  'leadership.extended': { level: 'info', pairs: 'grants, hosts, confirmedAgeMs, leaseMs', when: 'peers extend the leases of this host, which the store does not answer' },
  'leadership.first-primary': { level: 'info', pairs: 'group, upstream, written', when: 'the first primary of a group was named' },
  'leadership.host-stopped': { level: 'info', pairs: 'group, epoch, peer, because, waitedMs', when: 'it is certain that a host does not work at the closed primary any more, and how that is known' },
  'leadership.host-silent': { level: 'debug', pairs: 'group, epoch, peer, reason', when: 'a host has not confirmed yet that it stopped working at the closed primary' },
  'leadership.lease-expired': { level: 'warn', pairs: 'ageMs, confirmedAgeMs', when: 'neither the store nor enough peers have confirmed the leases on primaries in time; no work there' },
  'leadership.lease-restored': { level: 'info', pairs: 'ageMs, confirmedAgeMs', when: 'the leases on primaries are confirmed again' },
  'leadership.not-extended': { level: 'warn', pairs: 'grants, hosts, confirmedAgeMs, leaseMs', when: 'too few peers extend the leases of this host, which the store does not answer' },
  'leadership.peer-silent': { level: 'debug', pairs: 'peer, reason', when: 'a peer did not answer whether it reaches an upstream' },
  'leadership.reach': { level: 'info', pairs: 'group, upstream, reached, lost, silent', when: 'how many hosts reach a primary that this host cannot reach' },
  'leadership.stop-notice-failed': { level: 'warn', pairs: 'group, epoch, reason', when: 'this host could not write into its row that it stopped working at a primary; it tries again' },
  'leadership.watch-failed': { level: 'error', pairs: 'reason', when: 'checking the groups failed; they are checked again' },
  'limit.owner-failed': { level: 'info', pairs: 'organisation, peer, reason', when: 'the host that owns a limit has not answered; the next one is asked' },
  'log.dropped': { level: 'warn', pairs: 'lines', when: 'lines that were lost, since whoever reads standard output was too slow' },
  'log.left-out': { level: 'warn', pairs: 'of, lines', when: 'lines of an event beyond its budget, which were not written' },
  'member.state': { level: 'info', pairs: 'peer, state, before', when: 'another process is live, suspect, leaving or gone' },
  'operator.promote': { level: 'info', pairs: 'group, upstream, operator', when: 'an operator asks for another primary' },
  'peer.link-error': { level: 'warn', pairs: 'peer, reason', when: 'a link broke, or garbage came' },
  'peer.refused': { level: 'warn', pairs: 'peer, reason', when: 'a peer does not know the key' },
  'process.code-cache-rejected': { level: 'warn', pairs: 'reason', when: 'the code compiled at the build does not fit this runtime; a start takes a tenth longer' },
  'process.crashed': { level: 'error', pairs: 'reason, stack', when: 'the process ends by an error that nobody expected' },
  'process.reload': { level: 'info', pairs: 'applied, atNextStart', when: 'the settings were read again: what applies at once, and what does not' },
  'process.reload-refused': { level: 'error', pairs: 'file, reason', when: 'the settings have a mistake; those before stay in force' },
  'process.started': { level: 'info', pairs: 'role, callers, peers, http', when: 'a process is ready to serve; its ports' },
  'process.stop-failed': { level: 'error', pairs: 'reason', when: 'the planned stop failed; the process ends with an error' },
  'process.stopped': { level: 'info', pairs: '', when: 'the process has finished what was in flight and ends' },
  'process.stopping': { level: 'info', pairs: 'signal', when: 'the process was told to stop' },
  'promotion-lease.answer-lost': { level: 'warn', pairs: 'fence, reason', when: 'the store\'s answer about the lease is lost; the row is read to settle it' },
  'promotion-lease.held': { level: 'info', pairs: 'fence, before, renewed', when: 'this host holds the lease on promoting' },
  'promotion-lease.not-taken': { level: 'info', pairs: 'holder, fence', when: 'another host holds the lease on promoting' },
  'promotion-lease.released': { level: 'info', pairs: 'fence, written', when: 'this host gives up the lease on promoting, since it could not finish a failover' },
  'proxy.drain': { level: 'info', pairs: 'peer, operator', when: 'an operator takes a proxy out of work' },
  'proxy.restore': { level: 'info', pairs: 'peer, operator', when: 'an operator puts a proxy back to work' },
  'read.retried': { level: 'info', pairs: 'id, group, upstream, home, reason, attempts, floor', when: 'a read goes to another upstream' },
  'read.upstream-unavailable': { level: 'info', pairs: 'id, group, upstream, reason', when: 'no connection for a read' },
  'registry.host-removed': { level: 'info', pairs: 'peer, removed', when: 'the row of a retired host was removed' },
  'registry.host-retired': { level: 'warn', pairs: 'peer, process, refused, written', when: 'a silent host was given up; its leases expire' },
  'registry.leaving': { level: 'info', pairs: 'written', when: 'the row of this process says that it is stopping' },
  'registry.leaving-not-published': { level: 'warn', pairs: 'reason', when: 'this process could not write into its row that it is stopping' },
  'registry.peer-silent': { level: 'debug', pairs: 'peer, reason', when: 'a peer did not answer a question about the registry' },
  'registry.register-failed': { level: 'debug', pairs: 'reason', when: 'this process could not write its row in the registry yet; it tries again' },
  'registry.registered': { level: 'info', pairs: 'process, before, written', when: 'this process registers itself' },
  'registry.retire-failed': { level: 'debug', pairs: 'reason', when: 'the row of a silent host could not be retired, or that of a retired one removed; it is tried again' },
  'registry.stop-published': { level: 'info', pairs: 'group, epoch, written', when: 'this host wrote into its row that it stopped working at a primary, since no peer asked it to' },
  'registry.unregister-failed': { level: 'warn', pairs: 'reason', when: 'this process could not remove its row; peers retire it' },
  'request.done': { level: 'info', pairs: 'id, type, database, group, organisation, upstream, home, floor, attempts, outcome, state, position, ms', when: 'a request was answered by an upstream' },
  'request.failed': { level: 'warn', pairs: 'id, type, database, group, organisation, upstream, home, floor, attempts, outcome, reason, state, position, ms', when: 'a request was refused, failed, or is in doubt' },
  'retry.refused': { level: 'warn', pairs: 'id, group, upstream, home, reason, attempts, balance', when: 'a request that may have run is not sent again, since the retry budget is used up; `balance` is what is left of it' },
  'standin.tail-discarded': { level: 'warn', pairs: 'upstream, records', when: 'a stand-in dropped records that no majority had' },
  'store.unavailable': { level: 'warn', pairs: 'reason, confirmedAgeMs, version', when: 'the store stopped answering this host' },
  'store.recovered': { level: 'info', pairs: 'confirmedAgeMs, version', when: 'the store answers this host again' },
  'transaction.begin-retried': { level: 'info', pairs: 'id, group, upstream, home, reason', when: 'a transaction begins at another upstream' },
  'upstream.no-report': { level: 'info', pairs: 'upstream, group, reason', when: 'an upstream did not answer a question for its role and term' },
  'upstream.reachable': { level: 'info', pairs: 'group, upstream', when: 'an upstream answers this host again' },
  'upstream.unreachable': { level: 'warn', pairs: 'group, upstream, fault, reason', when: 'an upstream does not answer a host that works there' },
  'write.retried': { level: 'info', pairs: 'id, group, upstream, home, reason', when: 'a write that was not run is sent again' }
} as const satisfies Record<string, EventDescription>

/** Name of an event. */
export type EventName = keyof typeof events

/**
 * Formats the catalogue as a page.
 *
 * @returns Markdown
 */
export function formatEventsPage (): string {
  const rows = Object.entries(events).map(([name, { level, pairs, when }]) =>
    `| \`${name}\` | ${level} | ${pairs} | ${when} |`)
  return [
    '# Events',
    '',
    'Each log line is one event: `time=… level=… event=… host=…` and the pairs below. Made from',
    '`src/core/logger/events.ts` by `npm run events`.',
    '',
    '| event | level | pairs | when |',
    '| --- | --- | --- | --- |',
    ...rows,
    ''
  ].join('\n')
}
