import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createCommandQueue } from '../../src/mysql/command-queue.ts'

describe('createCommandQueue', () => {
  it('runs commands sequentially in order, then finishes', async () => {
    const steps: string[] = []
    const finished = new Promise<void>((resolve) => {
      const queue = createCommandQueue<string>(async (command) => {
        steps.push(`begin ${command}`)
        await Promise.resolve()
        steps.push(`end ${command}`)
      }, resolve)
      queue.add('a')
      queue.add('b')
      queue.finishWhenIdle()
    })
    await finished
    expect(steps).toEqual(['begin a', 'end a', 'begin b', 'end b'])
  })

  it('finishes immediately if it is idle', () => {
    let finished = 0
    const queue = createCommandQueue<string>(async () => {}, () => { finished++ })
    queue.finishWhenIdle()
    expect(finished).toEqual(1)
  })

  it('runs no command that comes after its end', async () => {
    const steps: string[] = []
    const queue = createCommandQueue<string>(async (command) => { steps.push(command) }, () => { steps.push('finished') })
    queue.finishWhenIdle()
    queue.add('late')
    queue.finishWhenIdle()
    await new Promise((resolve) => { setImmediate(resolve) })
    expect(steps).toEqual(['finished'])
  })
})
