/** The size to design for, as the users gave it. */

/** Sizes and bounds. */
export const DESIGN = {
  nodes: 2300,
  groups: 20_000,
  upstreamsPerGroup: 3,
  homesPerGroup: 3,
  keepersPerGroup: 3,
  callers: 7_400_000,
  statementsPerSecond: 5_700_000,
  /** Share of statements that write, as assumed on the page. */
  writeShare: 0.05,
  primaryChangesPerDay: 21,
  primaryChangeSeconds: 9,
  regions: 6,
  failureDomains: 15,
  configurationChangesPerDay: 50_000,
  configurationSeconds: 13,
  controlCoreShare: 0.019,
  controlMegabytes: 32,
  controlKilobytesPerSecond: 10,
  hostFailuresPerDay: 89,
  restartsPerDay: 2400,
  platformReadsPerSecond: 2000,
  platformWritesPerSecond: 300
} as const

/** How the processes are set at that size. */
export const SETTINGS_AT_SIZE = {
  /** Time between two heartbeat rounds, in seconds. */
  heartbeatSeconds: 1,
  heartbeatFanout: 2,
  /** Rounds for which a node passes a change of membership on, as the code does. */
  passedOnRounds: 6,
  /** Changes of state that a restart makes: leaving or suspect, gone, and live again. */
  statesPerRestart: 3,
  /** Time between two looks at the platform's list of hosts, in seconds. */
  hostListSeconds: 60,
  /** Mean time between two reads of the configuration head, in seconds. */
  pollSeconds: 5,
  /** Time between two probes of a primary by one keeper, in seconds. */
  probeSeconds: 3,
  /** Probes of a replica for each probe of its primary. */
  replicaProbeShare: 0.2,
  /** State kept of one member, in bytes of memory. */
  memberStateBytes: 600
} as const

/** Seconds of a day. */
export const DAY_SECONDS = 86_400
