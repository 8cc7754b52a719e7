import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { createBudgetedLogger } from '../../src/core/logger/budget.ts'
import { createLogger, type LogFields } from '../../src/core/logger/index.ts'

describe('createLogger', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(() => { clock.uninstall() })

  it('writes a line for each event of the level and above, and follows a change of the level', () => {
    const lines: string[] = []
    const logger = createLogger({ level: 'info', fields: { host: 'h1' }, stream: { write: (line) => lines.push(line) } })
    const logAll = (reason: string): void =>
      (['error', 'warn', 'info', 'debug'] as const).forEach((level) => logger.log(level, 'process.stopped', { reason }))
    logAll('at info')
    logger.setLevel('warn')
    logAll('warn')
    logger.setLevel('silent')
    logAll('silent')
    logger.setLevel('debug')
    logger.log('debug', 'process.stopped')
    const line = (level: string, rest: string): string =>
      `time=1970-01-01T00:00:00.000Z level=${level} event=process.stopped host=h1${rest}\n`
    expect(lines).toEqual([
      ...['error', 'warn', 'info'].map((level) => line(level, ' reason="at info"')),
      ...['error', 'warn'].map((level) => line(level, ' reason=warn')),
      line('debug', '')
    ])
  })
})

describe('createBudgetedLogger', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(() => { clock.uninstall() })

  it('limits the lines per second of an event, and logs how many were suppressed', () => {
    const lines: Array<[string, LogFields | undefined]> = []
    const logger = createBudgetedLogger({ log: (_level, event, fields) => { lines.push([event, fields]) } })
    for (let index = 0; index < 1000; index++) {
      logger.log('info', 'request.done')
      logger.log('warn', 'request.failed')
    }
    const countOf = (name: string): number => lines.filter(([event]) => event === name).length
    expect(countOf('request.done') < 50).toEqual(true)
    expect(countOf('request.failed') > countOf('request.done')).toEqual(true)
    clock.tick(1100)
    logger.log('info', 'process.stopped')
    const suppressed = lines.find(([event, fields]) => event === 'log.suppressed' && fields?.['of'] === 'request.done')
    expect(suppressed?.[1]?.['lines']).toEqual(1000 - countOf('request.done'))
  })
})

describe('createBoundedStream', () => {
  it('does not block when the reader stops reading', async () => {
    const script = `
      import { createBoundedStream } from './src/core/logger/bounded-stream.ts'
      const stream = createBoundedStream(1)
      for (let turn = 0; turn < 200; turn++) {
        stream.write('x'.repeat(10_000) + '\\n')
        await new Promise((resolve) => setImmediate(resolve))
      }
      process.stderr.write('went on')
      process.exit(0)
    `
    const child = spawn(process.execPath, ['--import', 'tsx', '--input-type=module', '-e', script], {
      cwd: new URL('../../', import.meta.url).pathname
    })
    child.stdout.pause()
    let errors = ''
    child.stderr.on('data', (data) => { errors += String(data) })
    await once(child, 'exit')
    expect(errors).toEqual('went on')
  })
})
