/** Guards against lines that are lost, joined or kept whole when input is cut anywhere, paused or dropped. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { createLineReader, MAXIMUM_MESSAGE_BYTES } from '../../platform/line-reader.ts'

function cut (text: string, lengths: number[]): string[] {
  const pieces: string[] = []
  let from = 0
  for (const length of lengths) {
    pieces.push(text.slice(from, from + length))
    from += length
  }
  return [...pieces, text.slice(from)]
}

const lines = fc.array(fc.stringMatching(/^[a-c\r]{0,30}$/).map((line) => line.replace(/\r$/, '')), { maxLength: 20 })
const lengths = fc.array(fc.integer({ min: 1, max: 12 }), { maxLength: 40 })

describe('the line reader', () => {
  it('hands on the lines of any input that is cut anywhere', () => {
    fc.assert(fc.property(lines, lengths, (wanted, pieces) => {
      const seen: string[] = []
      const reader = createLineReader({ onLine: (line) => seen.push(line), onOversize: () => {} })
      cut(wanted.map((line) => `${line}\r\n`).join(''), pieces).forEach(reader.read)
      expect(seen).toEqual(wanted)
    }))
  })

  it('hands on nothing while it is paused, and all lines in their order afterwards', () => {
    fc.assert(fc.property(lines, lengths, (wanted, pieces) => {
      const seen: string[] = []
      const reader = createLineReader({
        onLine: (line) => {
          expect(reader.isPaused).toEqual(false)
          seen.push(line)
          reader.isPaused = seen.length % 2 === 0
        },
        onOversize: () => {}
      })
      cut(wanted.map((line) => `${line}\r\n`).join(''), pieces).forEach(reader.read)
      while (reader.isPaused) {
        reader.isPaused = false
        reader.read('')
      }
      expect(seen).toEqual(wanted)
      expect(reader.hasRest).toEqual(false)
    }))
  })

  it('drops a line that may not be kept, and hands on those around it', () => {
    fc.assert(fc.property(lengths, (pieces) => {
      const seen: string[] = []
      const reader = createLineReader({
        onLine: (line) => seen.push(line.slice(0, 8)),
        onOversize: () => {},
        mayKeep: (bytes) => bytes < 100,
        onDropped: (beginning, bytes) => seen.push(`dropped ${beginning.slice(0, 8)} ${bytes}`)
      })
      const long = `QUERY 8 ${'x'.repeat(92)}`
      ;['QUERY 7\r\n', ...cut(long, [60, 39]), ...cut(`${'x'.repeat(50)}\r\nQUERY 9\r\n`, pieces)].forEach(reader.read)
      expect(seen).toEqual(['QUERY 7', 'dropped QUERY 8  150', 'QUERY 9'])
    }))
  })

  it('ends the input after a line that is too long, whole or not', () => {
    for (const input of [['x'.repeat(MAXIMUM_MESSAGE_BYTES + 1)], ['x'.repeat(MAXIMUM_MESSAGE_BYTES), 'x\r\nQUERY 9\r\n']]) {
      const seen: string[] = []
      const reader = createLineReader({ onLine: (line) => seen.push(line), onOversize: () => seen.push('too long') })
      ;[...input, 'QUERY 9\r\n'].forEach(reader.read)
      expect(seen).toEqual(['too long'])
    }
  })

  it('reports whole lines that it may not keep while it is paused, and ends the input', () => {
    const seen: string[] = []
    const reader = createLineReader({
      onLine: (line) => {
        seen.push(line)
        reader.isPaused = true
      },
      onOversize: () => {},
      mayKeep: () => false,
      onRestRefused: (bytes) => seen.push(`refused ${bytes}`)
    })
    reader.read('QUERY 7\r\nQUERY 8\r\n')
    reader.isPaused = false
    reader.read('QUERY 9\r\n')
    expect(seen).toEqual(['QUERY 7', 'refused 9'])
  })
})
