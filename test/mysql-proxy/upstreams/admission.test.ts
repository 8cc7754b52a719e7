import { describe, it } from 'node:test'
import { expect } from 'earl'
import { findRefusalReason, isTooLateToStart, retryAfterMs } from '../../../src/mysql-proxy/upstreams/admission.ts'

describe('admission control', () => {
  const request = { upstream: 'u', waiting: 3, capacity: 10, remainingMs: 100, meanMs: 10, concurrency: 1 }

  it('refuses a request when the queue is full or the expected queueing time exceeds half of the remaining time', () => {
    expect(findRefusalReason(request)).toEqual(undefined)
    expect(findRefusalReason({ ...request, waiting: 10 })).toEqual('10 requests wait for u already')
    expect(findRefusalReason({ ...request, waiting: 6 })).toEqual('the queue for u is too long for the deadline')
    expect(findRefusalReason({ ...request, waiting: 6, concurrency: 2 })).toEqual(undefined)
    expect(findRefusalReason({ ...request, waiting: 0, remainingMs: 0 })).toEqual(undefined)
  })

  it('does not start a request with less than twice the mean latency remaining', () => {
    expect(isTooLateToStart(19, 10)).toEqual(true)
    expect(isTooLateToStart(20, 10)).toEqual(false)
  })

  it('asks the caller to retry after the expected processing time of the queue, within 1 to 1000 ms', () => {
    expect(retryAfterMs(4, { meanMs: 10, concurrency: 2 })).toEqual(25)
    expect(retryAfterMs(0, { meanMs: 0, concurrency: 8 })).toEqual(1)
    expect(retryAfterMs(500, { meanMs: 10, concurrency: 1 })).toEqual(1000)
  })
})
