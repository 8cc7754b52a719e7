/** Slopes: how a cost grows with a size. */

/** A measured point. */
export interface Point {
  size: number
  cost: number
}

/** A slope and the points it was fitted to. */
export interface Slope {
  name: string
  /** What the size counts. */
  sizeUnit: string
  /** What the cost is measured in. */
  costUnit: string
  points: Point[]
  /** Cost of one more of the size. */
  perUnit: number
  /** Cost at size zero. */
  fixed: number
  /** Greatest deviation of a point from the line, as a part of the greatest cost. */
  spread: number
}

/** Single figures that are no slope. */
export type Figures = Record<string, number>

/** What the capacity page is computed from. */
export interface SlopeData {
  machine: string
  slopes: Record<string, Slope>
  figures: Figures
}

/** Measures points. */
export interface SlopeMeasurement {
  name: string
  sizeUnit: string
  costUnit: string
  measure: () => Promise<Point[]>
}
