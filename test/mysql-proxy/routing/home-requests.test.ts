import { describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestError } from '../../../src/core/errors/index.ts'
import type { Membership } from '../../../src/mysql-proxy/membership/index.ts'
import type { Member } from '../../../src/mysql-proxy/membership/types.ts'
import type { Peers } from '../../../src/peers/index.ts'
import { createHomeRequests } from '../../../src/mysql-proxy/routing/home-requests.ts'
import type { HomeReply, HomeRequest } from '../../../src/mysql-proxy/routing/types.ts'
import { EMPTY_ANSWER } from '../../../src/mysql/types.ts'
import { NOTHING_SEEN } from '../../../src/positions/position.ts'

const createMember = (host: string): Member => ({
  host, role: 'proxy', failureDomain: host, address: '127.0.0.1', port: 1, startedAt: 1, version: 1, state: 'live'
})
const LINK_BROKE = new RequestError('may-have-run', 'PeerUnavailable', { peer: 'home-1', reason: 'the link was closed' })
const OVERLOADED = new RequestError('not-run', 'Overloaded', { group: 'g', reason: 'full', retryAfterMs: 5 })
const REQUEST: HomeRequest = {
  type: 'execute',
  group: 'g',
  service: 's',
  deadlineMs: 1000,
  statement: { sql: 'INSERT' },
  floor: NOTHING_SEEN,
  readIndex: false,
  key: 'k'
}

/** Creates a sender with one home per answer; the homes give the answers in order. */
function createSender (answers: Array<RequestError | HomeReply>) {
  const members = answers.map((_answer, index) => createMember(`home-${index + 1}`))
  const membership = {
    self: createMember('entry'), answers: () => true, reportFailure: () => {}, known: () => members
  } as unknown as Membership
  const peers = {
    request: async () => {
      const answer = answers.shift()!
      if (answer instanceof RequestError) {
        throw answer
      }
      return answer
    }
  } as unknown as Peers
  return createHomeRequests({
    membership, peers, homesOf: () => [...members], serveLocally: async () => ({ answer: EMPTY_ANSWER })
  })
}

describe('createHomeRequests', () => {
  it('reports may-have-run when an earlier home may have run the request', async () => {
    const sender = createSender([LINK_BROKE, OVERLOADED])
    const refusal = await sender.send(REQUEST).catch((thrown: unknown) => thrown as RequestError)
    expect((refusal as RequestError).verdict).toEqual('may-have-run')
    expect((refusal as RequestError).entry).toEqual('Overloaded')
  })

  it('keeps the verdict of the home when no other home received the request before', async () => {
    const refusal = await createSender([OVERLOADED]).send(REQUEST).catch((thrown: unknown) => thrown as RequestError)
    expect((refusal as RequestError).verdict).toEqual('not-run')
  })

  it('resends a keyed request to the next home when the link broke, and returns its reply', async () => {
    const served = await createSender([LINK_BROKE, { answer: EMPTY_ANSWER, replayed: true }]).send(REQUEST)
    expect(served.home).toEqual('home-2')
  })

  it('does not resend a statement of a transaction to another home', async () => {
    const sender = createSender([LINK_BROKE, { answer: EMPTY_ANSWER }])
    const statement: HomeRequest = {
      type: 'transaction-execute', group: 'g', service: 's', deadlineMs: 1000, transactionId: 't', statement: { sql: '' }
    }
    await expect(sender.send(statement)).toBeRejectedWith('the link was closed')
  })
})
