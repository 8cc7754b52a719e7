/** Fits a line to measured points by least squares. */
import type { Point, Slope, SlopeMeasurement } from './types.ts'

const DIGITS = 5

/**
 * Fits a line.
 *
 * @param measurement - what was measured
 * @param points - the points, four or more
 * @returns the slope
 */
export function fitSlope (measurement: Omit<SlopeMeasurement, 'measure'>, points: Point[]): Slope {
  const count = points.length
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count
  const meanCost = points.reduce((sum, { cost }) => sum + cost, 0) / count
  const covariance = points.reduce((sum, { size, cost }) => sum + (size - meanSize) * (cost - meanCost), 0)
  const variance = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0)
  const perUnit = covariance / variance
  const fixed = meanCost - perUnit * meanSize
  const greatest = Math.max(...points.map(({ cost }) => Math.abs(cost)))
  const deviation = Math.max(...points.map(({ size, cost }) => Math.abs(cost - fixed - perUnit * size)))
  const { name, sizeUnit, costUnit } = measurement
  return {
    name,
    sizeUnit,
    costUnit,
    points: points.map(({ size, cost }) => ({ size, cost: round(cost) })),
    perUnit: round(perUnit),
    fixed: round(fixed),
    spread: round(deviation / greatest)
  }
}

function round (value: number): number {
  return Number(value.toPrecision(DIGITS))
}
