/** Capacity of this host, as its row announces it and the metric `worksward_capacity` shows it. */
import type { EntrySettings } from '../../core/config/entry-settings.ts'
import type { Metrics } from '../../metrics/index.ts'
import { capacityOf, unitsOf } from '../../placement/capacity.ts'

/**
 * Computes the capacity of this host and registers its metric.
 *
 * @param host - settings of the host
 * @param metrics - where the metric is registered
 * @returns the capacity in units; undefined if it is unknown
 */
export function reportOwnCapacity (
  { name, capacity: resources }: EntrySettings['host'], metrics: Pick<Metrics, 'registerGauge'>
): number | undefined {
  const capacity = resources === undefined ? undefined : capacityOf(resources)
  metrics.registerGauge(
    'worksward_capacity', 'Capacity of this host in units, 1 if unknown', () => ({ units: unitsOf({ name, capacity }) }))
  return capacity
}
