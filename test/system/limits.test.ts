import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { GROUP, purchase, startTestDeployment, type TestDeployment } from '../fixtures/deployment.ts'

describe('limits', () => {
  let deployment: TestDeployment
  before(async () => {
    deployment = await startTestDeployment({ readMs: 20, writeMs: 5 }, {
      adjust: ({ groups }) => Object.values(groups).forEach((group) => {
        group.limits.queue = 20
        const reads = Object.values(group.services['app']!.kinds).filter(({ access }) => access === 'read')
        reads.forEach((kind) => { kind.deadlineMs = 1500 })
      })
    })
  })
  after(async () => await deployment.close())

  it('rejects excess reads as not run with a retry delay, and respects the connection limit', async () => {
    let peakConnections = 0
    const servers = [...deployment.standins.groups.get(GROUP)!.values()]
    const sampling = setInterval(() => {
      peakConnections = Math.max(peakConnections, ...servers.map((server) => server.connections()))
    }, 2)
    const connections = await Promise.all(Array.from({ length: 150 }, async (_value, index) =>
      await deployment.connect(index % 3)))
    const reads = await Promise.allSettled(connections.map(async (connection) =>
      await connection.query("SELECT 1 /*worksward_kind='strict'*/")))
    clearInterval(sampling)
    const rejections = reads.filter((read) => read.status === 'rejected').map((read) => String(read.reason))
    expect(rejections.length > 0).toEqual(true)
    rejections.forEach((rejection) => expect(rejection).toMatchRegex(/verdict: not-run/))
    expect(rejections.some((rejection) => /retry after \d+ ms/.test(rejection))).toEqual(true)
    expect(peakConnections <= 25).toEqual(true)
    expect(servers.every((server) => server.refused() === 0)).toEqual(true)
  })

  it('serves purchases while reads overload the primary', async () => {
    const readers = await Promise.all(Array.from({ length: 60 }, async (_value, index) =>
      await deployment.connect(index % 3)))
    const state = { stopped: false }
    const overload = readers.map(async (reader) => {
      while (!state.stopped) {
        await reader.query("SELECT 1 /*worksward_kind='strict'*/").catch(() => {})
      }
    })
    const writer = await deployment.connect(0)
    for (let index = 0; index < 10; index++) {
      await purchase(writer, 'crowded', `c${index}`)
    }
    state.stopped = true
    await Promise.all(overload)
  })
})
