import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { FairOrder, type QueueRequest } from '../../../src/entry/pools/fair-order.ts'

const SEED = 3
const request = (changes: Partial<QueueRequest>): QueueRequest =>
  ({ organisation: 'small', priority: 1, costMs: 10, waitMs: 250, dueInMs: 500, ...changes })

describe('the order of statements that wait for an upstream', () => {
  let clock: Clock
  let order: FairOrder
  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['performance'] })
    order = new FairOrder()
  })
  afterEach(() => { clock.uninstall() })
  const drain = (): QueueRequest[] => Array.from({ length: order.count }, () => order.takeNext()!)
  const add = (count: number, changes: Partial<QueueRequest>): void => {
    Array.from({ length: count }).forEach(() => { order.add(request(changes)) })
  }

  it('alternates between a flooding organisation and small ones, whatever arrived first', () => {
    add(20, { organisation: 'large' })
    add(2, { organisation: 'small' })
    add(2, { organisation: 'other' })
    const names = drain().slice(0, 6).map(({ organisation }) => organisation)
    expect(names.filter((name) => name === 'large').length).toEqual(2)
  })

  it('does not credit an organisation for time in which it sent nothing', () => {
    for (let count = 0; count < 50; count++) {
      order.charge(request({ organisation: 'large' }))
    }
    add(6, { organisation: 'late' })
    add(6, { organisation: 'large' })
    const names = drain().slice(0, 6).map(({ organisation }) => organisation)
    expect(names.filter((name) => name === 'large').length >= 2).toEqual(true)
  })

  it('runs steps of open transactions first, then by priority, and the shortest of an organisation', () => {
    add(1, { costMs: 30 })
    add(1, { costMs: 5 })
    add(1, { priority: 0, costMs: 90 })
    add(1, { priority: -1, costMs: 80, dueInMs: -1 })
    expect(drain().map(({ costMs }) => costMs)).toEqual([80, 90, 5, 30])
  })

  it('puts a statement that can no longer be in time behind those of the same or a more urgent priority that can', () => {
    add(1, { costMs: 20, dueInMs: 19 })
    add(1, { costMs: 30, dueInMs: 40, organisation: 'other' })
    add(1, { priority: 0, costMs: 50, dueInMs: 60 })
    add(1, { priority: 2, costMs: 60 })
    expect(drain().map(({ costMs }) => costMs)).toEqual([50, 30, 20, 60])
  })

  it('gives every eighth turn to the statement that has used the largest part of its allowed wait', () => {
    add(1, { organisation: 'patient', priority: 2, costMs: 40, waitMs: 600, dueInMs: 1200 })
    clock.tick(400)
    add(30, { organisation: 'large', priority: 0, dueInMs: 5000 })
    const turn = drain().findIndex(({ organisation }) => organisation === 'patient')
    expect(turn).toEqual(7)
  })

  it('counts as ahead what goes before a statement: little for a small organisation, the backlog for a flooding one', () => {
    add(40, { organisation: 'large' })
    order.charge(request({ organisation: 'large' }))
    expect(order.aheadOf(request({ organisation: 'small' })).costMs <= 30).toEqual(true)
    expect(order.aheadOf(request({ organisation: 'large' })).costMs).toEqual(400)
    expect(order.aheadOf(request({ organisation: 'small', dueInMs: -1 })).costMs).toEqual(400)
  })

  it('orders and counts by priority, then duration, then arrival without organisations', () => {
    const random = xoroshiro128plus(SEED)
    const added: QueueRequest[] = []
    for (let index = 0; index < 200; index++) {
      const next = request({
        organisation: '',
        priority: uniformInt(random, -1, 2),
        costMs: uniformInt(random, 1, 9),
        waitMs: 1000 + index,
        dueInMs: uniformInt(random, -20, 20)
      })
      const ahead = added.filter(({ priority, costMs }) =>
        priority < next.priority || (priority === next.priority && costMs <= next.costMs))
      expect(order.aheadOf(next)).toEqual({
        count: ahead.length, costMs: ahead.reduce((sum, { costMs }) => sum + costMs, 0)
      })
      order.add(next)
      added.push(next)
      clock.tick(1)
    }
    const sorted = [...added].sort((left, right) => left.priority - right.priority || left.costMs - right.costMs)
    expect(drain().map(({ waitMs }) => waitMs)).toEqual(sorted.map(({ waitMs }) => waitMs))
  })
})
