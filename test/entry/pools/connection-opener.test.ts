import { describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestError } from '../../../src/core/errors/index.ts'
import { createConnectionOpener, faultFromError } from '../../../src/entry/pools/connection-opener.ts'
import { UpstreamUnreachable } from '../../../src/entry/ports/index.ts'

describe('a failed attempt to connect to an upstream', () => {
  const refused = (reason: 'too-many-connections' | 'misrouted' | 'busy'): RequestError =>
    new RequestError('not-run', 'UpstreamRefused', { upstream: 'u', reason })

  it('is not a fault if the upstream has no capacity', () => {
    expect([faultFromError(refused('too-many-connections')), faultFromError(refused('busy'))])
      .toEqual([undefined, undefined])
  })

  it('is a fault if another upstream answers or none does', () => {
    const unreachable = (['refused', 'silent'] as const).map((fault) => new UpstreamUnreachable('u', 'no answer', fault))
    expect([refused('misrouted'), ...unreachable, new Error('other')].map(faultFromError))
      .toEqual(['misrouted', 'refused', 'silent', 'silent'])
  })
})

describe('the connection opener', () => {
  it('forgets organisations without attempts in progress', async () => {
    const opener = createConnectionOpener({
      target: { group: 'g', upstream: 'u', endpoint: { address: '127.0.0.1', port: 1 } },
      port: { open: async () => { throw new UpstreamUnreachable('u', 'no answer', 'silent') } },
      onOpened: () => {},
      onPauseEnd: () => {},
      onFault: () => {}
    })
    for (let number = 0; number < 1000; number++) {
      const opening = opener.open(`organisation-${number}`)
      expect(opener.count).toEqual(1)
      await opening
    }
    expect([opener.count, opener.byOrganisation.size]).toEqual([0, 0])
  })
})
