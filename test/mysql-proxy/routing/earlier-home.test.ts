import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestError } from '../../../src/core/errors/index.ts'
import { silentLogger } from '../../../src/core/logger/index.ts'
import { createDialer } from '../../../src/core/wire/dialer.ts'
import { EMBEDDED_ACCOUNT, EMBEDDED_SERVICE } from '../../../src/emulation/embedded/sizes.ts'
import { fingerprintOf } from '../../../src/mysql-proxy/ledger/request-key.ts'
import type { Membership } from '../../../src/mysql-proxy/membership/index.ts'
import type { Member } from '../../../src/mysql-proxy/membership/types.ts'
import { createGroupHome, type GroupHome } from '../../../src/mysql-proxy/routing/group-home.ts'
import { createHomeRequests } from '../../../src/mysql-proxy/routing/home-requests.ts'
import type { HomeReply, HomeRequest } from '../../../src/mysql-proxy/routing/types.ts'
import { EMPTY_ANSWER } from '../../../src/mysql/types.ts'
import type { Peers } from '../../../src/peers/index.ts'
import { NOTHING_SEEN } from '../../../src/positions/position.ts'
import { GROUP, readRequests, startTestDeployment, type TestDeployment } from '../../fixtures/deployment.ts'

const createMember = (host: string): Member => ({
  host, role: 'proxy', failureDomain: host, address: '127.0.0.1', port: 1, startedAt: 1, version: 1, state: 'live'
})
const LINK_BROKE = new RequestError('may-have-run', 'PeerUnavailable', { peer: 'home-1', reason: 'the link was closed' })

describe('a write that is sent to a second home because the link to the first one broke', () => {
  let deployment: TestDeployment
  const homes: GroupHome[] = []
  before(async () => {
    deployment = await startTestDeployment()
    for (const seed of [1, 2]) {
      homes.push(createGroupHome({
        name: GROUP,
        group: { ...deployment.declarations.groups[GROUP]!, account: EMBEDDED_ACCOUNT },
        dialer: createDialer(),
        logger: silentLogger,
        failureDomain: 'test',
        seed,
        onUpstreamFailure: () => {}
      }))
    }
  })
  after(async () => {
    homes.forEach((home) => home.close())
    await deployment.close()
  })

  // The second home gives its attempt up with a tombstone, and the first one then takes the key over.
  it('is not reported as not run while the first home may still run it', async () => {
    const statement = { sql: "INSERT INTO records (session, request, amount) VALUES ('earlier', 'e1', 1)" }
    const request: HomeRequest = {
      type: 'execute',
      group: GROUP,
      service: EMBEDDED_SERVICE,
      kind: 'purchase',
      deadlineMs: 5000,
      statement,
      floor: NOTHING_SEEN,
      readIndex: false,
      key: 'key-of-two-homes'
    }
    const [first, second] = homes as [GroupHome, GroupHome]
    const settle: HomeRequest = {
      type: 'settle',
      group: GROUP,
      service: EMBEDDED_SERVICE,
      deadlineMs: 5000,
      key: request.key!,
      fingerprint: fingerprintOf([statement])
    }
    const attempts = [async (): Promise<HomeReply> => { throw LINK_BROKE }, async () => await second.serve(settle)]
    const members = attempts.map((_attempt, index) => createMember(`home-${index + 1}`))
    const sender = createHomeRequests({
      membership: {
        self: createMember('entry'), answers: () => true, reportFailure: () => {}, known: () => members
      } as unknown as Membership,
      peers: { request: async () => await attempts.shift()!() } as unknown as Peers,
      homesOf: () => [...members],
      serveLocally: async () => ({ answer: EMPTY_ANSWER })
    })
    const refusal = await sender.send(request).catch((thrown: unknown) => thrown as RequestError)
    await first.serve(request)
    expect(await readRequests(await deployment.connect(0), 'earlier', 'any-id')).toEqual(['e1'])
    expect([(refusal as RequestError).entry, (refusal as RequestError).verdict]).toEqual(['TransactionLost', 'may-have-run'])
  })
})
