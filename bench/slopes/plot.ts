/** Draws a slope as an SVG picture. */
import { compile } from 'vega-lite'
import { parse, View } from 'vega'
import type { Slope } from './types.ts'

/**
 * Draws a slope: the points, and the fitted line.
 *
 * @param slope - the slope
 * @returns the picture as SVG text
 */
export async function drawSlope (slope: Slope): Promise<string> {
  const { spec } = compile({
    title: slope.name,
    width: 360,
    height: 220,
    layer: [
      {
        data: { values: slope.points.map(({ size }) => ({ size, cost: slope.fixed + slope.perUnit * size })) },
        mark: { type: 'line', color: '#999' },
        encoding: {
          x: { field: 'size', type: 'quantitative', title: slope.sizeUnit },
          y: { field: 'cost', type: 'quantitative', title: slope.costUnit }
        }
      },
      {
        data: { values: slope.points },
        mark: { type: 'point', filled: true },
        encoding: {
          x: { field: 'size', type: 'quantitative' },
          y: { field: 'cost', type: 'quantitative' }
        }
      }
    ]
  })
  return await new View(parse(spec), { renderer: 'none' }).toSVG()
}
