/**
 * Catalogue of all errors shown to callers and operators, each with a title, a message built from typed arguments and
 * a hint on how to resolve it.
 */

/** An entry of the catalogue. */
export interface CatalogueEntry<Arguments> {
  /** Short title, the same for every occurrence. */
  title: string
  /** Builds the message of an occurrence. */
  message: (details: Arguments) => string
  /** How to resolve the error. */
  hint: string
  /** MySQL error code sent to callers; 1105 (unknown error) when absent. */
  mysqlCode?: number
}

/** Returns its argument unchanged; infers the type of the message arguments. */
function defineEntry<Arguments> (definition: CatalogueEntry<Arguments>): CatalogueEntry<Arguments> {
  return definition
}

/** A validation error in a file, with its location. */
export interface FileMistake {
  file: string
  path: string
  line?: number
  reason: string
}

/** Message arguments of an operation refused by a rate limit. */
interface LimitRefusal {
  organisation: string
  /** The limit as known to the host that refuses the operation. */
  limit?: { perSecond: number, burst: number }
  /** Version of the desired state that set the limit. */
  version?: number
  /** Host that enforces the limit; undefined when none could be reached. */
  keeper?: string
  retryAfterMs: number
}

/** Message arguments of something that does not fit into the memory of a host. */
interface MemoryRefusal {
  what: string
  bytes: number
  /** What the memory is held for. */
  use: string
  /** Bytes that are held for this use, and that may be. */
  heldBytes: number
  maximumBytes: number
}

/** All errors by name. */
export const catalogue = {
  InvalidSettings: defineEntry<{ mistakes: FileMistake[] }>({
    title: 'Invalid file',
    message: ({ mistakes }) => mistakes.map(formatMistake).join('\n'),
    hint: 'Correct the named lines; examples/ holds complete files and every field is described in docs/OPERATIONS.md.'
  }),
  UnreadableFile: defineEntry<{ file: string, reason: string }>({
    title: 'File cannot be read',
    message: ({ file, reason }) => `${file}: ${reason}`,
    hint: 'Check the path and that the file is valid YAML.'
  }),
  MalformedHint: defineEntry<{ reason: string }>({
    title: 'Malformed request comment',
    message: ({ reason }) => `the worksward comment of this statement cannot be read: ${reason}`,
    hint: "Write it as /*worksward_kind='grid',worksward_session='...'*/ with URL-encoded values.",
    mysqlCode: 1064
  }),
  UnknownKind: defineEntry<{ kind: string, service: string, known: string[] }>({
    title: 'Unknown request kind',
    message: ({ kind, service, known }) =>
      `service ${service} declares no request kind '${kind}'; it declares: ${known.join(', ') || 'none'}`,
    hint: 'Use a declared kind, or declare this one under the service.',
    mysqlCode: 1235
  }),
  UnknownGroup: defineEntry<{ group: string }>({
    title: 'Unknown database group',
    message: ({ group }) => `no database group '${group}' is declared`,
    hint: 'Connect with the name of a declared group as the database.',
    mysqlCode: 1049
  }),
  UnknownKey: defineEntry<{ group: string }>({
    title: 'Unknown key',
    message: ({ group }) => `no organisation holds the key with which '${group}' was asked for`,
    hint: 'Use a key of an organisation that is declared; keys that were taken away are refused.',
    mysqlCode: 1045
  }),
  AccessDenied: defineEntry<{ user: string }>({
    title: 'Access denied',
    message: ({ user }) => `access denied for '${user}'`,
    hint: 'Check the name and password of the service against its declaration.',
    mysqlCode: 1045
  }),
  StatementTooLarge: defineEntry<{ bytes: number, limit: number }>({
    title: 'Statement too large',
    message: ({ bytes, limit }) => `the statement has ${bytes} bytes; the limit is ${limit}`,
    hint: 'Split the statement, or raise limits.statementBytes.',
    mysqlCode: 1153
  }),
  AnswerTooLarge: defineEntry<{ rows: number, limit: number }>({
    title: 'Answer too large',
    message: ({ rows, limit }) => `the answer has ${rows} rows; the limit is ${limit}`,
    hint: 'Ask for fewer rows, or raise limits.answerRows.',
    mysqlCode: 1104
  }),
  UnsupportedStatement: defineEntry<{ reason: string }>({
    title: 'Unsupported statement',
    message: ({ reason }) => `this statement cannot be served: ${reason}`,
    hint: 'See "What callers may send" in docs/OPERATIONS.md.',
    mysqlCode: 1235
  }),
  InvalidToken: defineEntry<{ reason: string }>({
    title: 'Invalid session token',
    message: ({ reason }) => `the session token is not accepted: ${reason}`,
    hint: 'Present the token exactly as SELECT @@worksward_session returned it, or start a new session.',
    mysqlCode: 1235
  }),
  Overloaded: defineEntry<{ group: string, reason: string, retryAfterMs: number }>({
    title: 'Overloaded',
    message: ({ group, reason, retryAfterMs }) =>
      `group ${group} cannot take the request: ${reason}; retry after ${retryAfterMs} ms`,
    hint: 'The request did not run. Come back after the stated time.',
    mysqlCode: 1040
  }),
  LimitReached: defineEntry<LimitRefusal>({
    title: 'Limit reached',
    message: ({ organisation, limit, version, keeper, retryAfterMs }) => keeper === undefined
      ? `no host could say what the limit of ${organisation} leaves; retry after ${retryAfterMs} ms`
      : `${organisation} has reached its limit of ${limit?.perSecond} operations a second and ${limit?.burst} at a ` +
        `time (version ${version}, kept by ${keeper}); retry after ${retryAfterMs} ms`,
    hint: 'The request did not run. Come back after the stated time, or raise the limit of the organisation.',
    mysqlCode: 1226
  }),
  NoUpstream: defineEntry<{ group: string, reason: string, retryAfterMs: number }>({
    title: 'No fit upstream',
    message: ({ group, reason, retryAfterMs }) =>
      `no upstream of group ${group} can serve the request: ${reason}; retry after ${retryAfterMs} ms`,
    hint: 'The request did not run. If it lasts, look at "show upstreams".',
    mysqlCode: 2003
  }),
  NoMemory: defineEntry<MemoryRefusal>({
    title: 'No room in memory',
    message: ({ what, bytes, use, heldBytes, maximumBytes }) =>
      `${what} takes ${bytes} bytes, which this host has no room for: all ${use} take ${heldBytes} of ${maximumBytes} bytes`,
    hint: 'Make it smaller, drop what is no longer needed, or connect to another host.',
    mysqlCode: 1041
  }),
  TooManyNames: defineEntry<{ what: string, maximum: number }>({
    title: 'Too many names',
    message: ({ what, maximum }) => `there is no room for ${what}: a session may have ${maximum} names`,
    hint: 'Deallocate statements that are no longer needed, or use several sessions.'
  }),
  DeadlineExceeded: defineEntry<{ deadlineMs: number, stage: string }>({
    title: 'Deadline exceeded',
    message: ({ deadlineMs, stage }) => `the deadline of ${deadlineMs} ms passed while ${stage}`,
    hint: 'The verdict says whether the request may have run; retry only what did not run or is idempotent.',
    mysqlCode: 3024
  }),
  ConnectionLost: defineEntry<{ upstream: string, reason: string }>({
    title: 'Connection to the upstream lost',
    message: ({ upstream, reason }) => `the connection to upstream ${upstream} was lost: ${reason}`,
    hint: 'The verdict says whether the request may have run.',
    mysqlCode: 2013
  }),
  UpstreamRefused: defineEntry<{ upstream: string, reason: 'too-many-connections' | 'misrouted' | 'busy' }>({
    title: 'Connection refused by the upstream',
    message: ({ upstream, reason }) => `upstream ${upstream} refused a connection: ${reason}`,
    hint: 'Too many connections: look at the shares of the hosts. Misrouted: another upstream took over the address.',
    mysqlCode: 1040
  }),
  NotAcknowledged: defineEntry<{ group: string, reason: string }>({
    title: 'Write not acknowledged',
    message: ({ group, reason }) => `a write to group ${group} could not be acknowledged: ${reason}`,
    hint: 'The request may have run. Repeat it with the same worksward_key to learn its outcome.',
    mysqlCode: 1180
  }),
  KeyReused: defineEntry<{ key: string }>({
    title: 'Request key reused',
    message: ({ key }) => `the request key '${key}' was used for another request; nothing was run`,
    hint: 'Use a new key for each request, and the same key only to repeat the same request.',
    mysqlCode: 1062
  }),
  KeyExpired: defineEntry<{ key: string, retentionMs: number }>({
    title: 'Request key too old',
    message: ({ key, retentionMs }) => `the request key '${key}' is older than ${retentionMs} ms; nothing was run`,
    hint: 'The record of this key may be gone. Check the data before sending the request under a new key.',
    mysqlCode: 1235
  }),
  TransactionLost: defineEntry<{ reason: string }>({
    title: 'Transaction rolled back',
    message: ({ reason }) => `the transaction was rolled back: ${reason}`,
    hint: 'Nothing of the transaction took effect. Start it again.',
    mysqlCode: 1213
  }),
  StatementFailed: defineEntry<{ code: number, reason: string }>({
    title: 'Statement failed',
    message: ({ reason }) => reason,
    hint: 'The upstream refused the statement; it had no effect.'
  }),
  PeerUnavailable: defineEntry<{ peer: string, reason: string }>({
    title: 'Peer unavailable',
    message: ({ peer, reason }) => `peer ${peer} cannot be reached: ${reason}`,
    hint: 'Look at "show proxies"; the request is tried at another home where that is safe.',
    mysqlCode: 2003
  }),
  Stopping: defineEntry<{ host: string }>({
    title: 'Stopping',
    message: ({ host }) => `proxy ${host} is stopping and takes no new work`,
    hint: 'Connect again; the balancer leads to another proxy.',
    mysqlCode: 1053
  }),
  ConfigurationConflict: defineEntry<{ group: string, winner: string, version: number }>({
    title: 'Conflicting change',
    message: ({ group, winner, version }) =>
      `group ${group} was changed meanwhile: change ${winner} made version ${version} and won`,
    hint: 'Look at the winning change with "worksward query \'show history\'", then apply yours again.'
  }),
  PlatformUnavailable: defineEntry<{ operation: string, reason: string }>({
    title: 'Platform unavailable',
    message: ({ operation, reason }) => `the platform did not answer ${operation}: ${reason}`,
    hint: 'Data path and failover go on without it. Try again when the platform answers.'
  }),
  NotAllowed: defineEntry<{ right: string }>({
    title: 'Not allowed',
    message: ({ right }) => `this key does not carry the right to ${right}`,
    hint: 'Set WORKSWARD_KEY to the key of an operator who has it; rights stand in the settings under operators.'
  }),
  InvalidCommand: defineEntry<{ reason: string }>({
    title: 'Invalid command',
    message: ({ reason }) => reason,
    hint: 'See "worksward --help" and docs/OPERATIONS.md.'
  })
} as const

/** Name of a catalogue entry. */
export type ErrorName = keyof typeof catalogue

/** Message arguments of a catalogue entry. */
export type ErrorDetails<Name extends ErrorName> =
  (typeof catalogue)[Name] extends CatalogueEntry<infer Details> ? Details : never

function formatMistake ({ file, path, line, reason }: FileMistake): string {
  const location = line === undefined ? file : `${file}:${line}`
  return `${location}: ${path || '(root)'}: ${reason}`
}
