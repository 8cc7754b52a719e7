import { describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestError } from '../../../src/core/errors/index.ts'
import { faultOf } from '../../../src/entry/pools/connection-opener.ts'
import { UpstreamUnreachable } from '../../../src/entry/ports/index.ts'

describe('a failed attempt to connect to an upstream', () => {
  const refused = (reason: 'too-many-connections' | 'misrouted' | 'busy'): RequestError =>
    new RequestError('not-run', 'UpstreamRefused', { upstream: 'u', reason })

  it('is no fault of an upstream that has no room', () => {
    expect([faultOf(refused('too-many-connections')), faultOf(refused('busy'))]).toEqual([undefined, undefined])
  })

  it('is a fault where another upstream answers, or none', () => {
    const unreachable = (['refused', 'silent'] as const).map((fault) => new UpstreamUnreachable('u', 'no answer', fault))
    expect([refused('misrouted'), ...unreachable, new Error('other')].map(faultOf))
      .toEqual(['misrouted', 'refused', 'silent', 'silent'])
  })
})
