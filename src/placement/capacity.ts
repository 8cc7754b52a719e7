/**
 * Capacity of a host in units: what placement weighs hosts by. One unit is the work that one core does, some 300
 * statements per second of about 2 KB.
 */

/** Bandwidth that one unit of work uses, in Mbit/s: 300 statements per second of about 2 KB. */
const LINK_MBPS_PER_UNIT = 5
/** Least capacity of a host. A weight near zero would leave a host without any work, and its processor unused. */
const MINIMUM_UNITS = 0.05
/** Fractions of a unit that a capacity is rounded to. */
const STEPS_PER_UNIT = 100
/** Capacity of a host that announces none. */
const UNKNOWN_CAPACITY_UNITS = 1

/** What a host may use. Parts that are not set are unknown. */
export interface HostResources {
  /** Share of each core that the host may use. */
  coreShare?: number | undefined
  /** Number of cores. */
  cores?: number | undefined
  /** Bandwidth of the host's link, in Mbit/s. */
  linkMbps?: number | undefined
}

/** A host as placement sees it. */
export interface WeightedHost {
  name: string
  /** Capacity in units; absent if unknown. */
  capacity?: number | undefined
}

/**
 * Computes the capacity of a host: the smaller of its cores and of what its link carries. Without `cores` and
 * `coreShare` it counts as one core; a link that is not set does not limit it.
 *
 * @param resources - what the host may use
 * @returns the capacity in units, in hundredths; undefined if nothing is set
 */
export function capacityOf ({ coreShare, cores, linkMbps }: HostResources): number | undefined {
  if (coreShare === undefined && cores === undefined && linkMbps === undefined) {
    return undefined
  }
  const usableCores = (coreShare ?? 1) * (cores ?? 1)
  const units = Math.min(usableCores, linkMbps === undefined ? Infinity : linkMbps / LINK_MBPS_PER_UNIT)
  return Math.max(MINIMUM_UNITS, Math.round(units * STEPS_PER_UNIT) / STEPS_PER_UNIT)
}

/**
 * Returns the weight of a host in placement.
 *
 * @param host - the host
 * @returns its capacity in units, or {@link UNKNOWN_CAPACITY_UNITS}
 */
export function unitsOf ({ capacity }: WeightedHost): number {
  return capacity ?? UNKNOWN_CAPACITY_UNITS
}

/**
 * Checks whether all hosts have the same capacity. Placement then goes by the hash alone.
 *
 * @param hosts - the hosts
 * @returns whether the capacities are equal; true without hosts
 */
export function areEqualInCapacity (hosts: readonly WeightedHost[]): boolean {
  return hosts.every((host) => unitsOf(host) === unitsOf(hosts[0]!))
}
