import { describe, it } from 'node:test'
import { expect } from 'earl'
import { findRefusal, isTooLateToStart, retryAfterMs } from '../../../src/mysql-proxy/upstreams/admission.ts'

describe('the rule of admission', () => {
  const request = { upstream: 'u', waiting: 3, bound: 10, leftMs: 100, meanMs: 10, concurrency: 1 }

  it('refuses a full queue, and what would queue for more than half of its time', () => {
    expect(findRefusal(request)).toEqual(undefined)
    expect(findRefusal({ ...request, waiting: 10 })).toEqual('10 requests wait for u already')
    expect(findRefusal({ ...request, waiting: 6 })).toEqual('the queue for u is too long for the deadline')
    expect(findRefusal({ ...request, waiting: 6, concurrency: 2 })).toEqual(undefined)
    expect(findRefusal({ ...request, waiting: 0, leftMs: 0 })).toEqual(undefined)
  })

  it('does not start what has less than twice the mean latency left', () => {
    expect(isTooLateToStart(19, 10)).toEqual(true)
    expect(isTooLateToStart(20, 10)).toEqual(false)
  })

  it('sends a caller back when the queue is expected to be done, after 1 to 1000 ms', () => {
    expect(retryAfterMs(4, { meanMs: 10, concurrency: 2 })).toEqual(25)
    expect(retryAfterMs(0, { meanMs: 0, concurrency: 8 })).toEqual(1)
    expect(retryAfterMs(500, { meanMs: 10, concurrency: 1 })).toEqual(1000)
  })
})
