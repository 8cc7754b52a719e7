import { connect } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { purchase, readRequests, startTestDeployment, type TestDeployment } from '../fixtures/deployment.ts'

describe('invalid input', () => {
  let deployment: TestDeployment
  before(async () => {
    deployment = await startTestDeployment({}, {
      adjust: ({ groups }) => { Object.values(groups).forEach((group) => { group.limits.statementBytes = 2000 }) }
    })
  })
  after(async () => await deployment.close())

  it('rejects a wrong password and an unknown service', async () => {
    await expect(deployment.connect(0, { password: 'wrong' })).toBeRejectedWith('access denied')
    await expect(deployment.connect(0, { user: 'nobody' })).toBeRejectedWith('access denied')
  })

  it('rejects an unknown kind, a malformed comment and an oversized statement with a reason, and keeps serving', async () => {
    const connection = await deployment.connect(0)
    await expect(connection.query("SELECT 1 /*worksward_kind='nothing'*/")).toBeRejectedWith("no request kind 'nothing'")
    await expect(connection.query('SELECT 1 /*worksward_kind=grid*/')).toBeRejectedWith('cannot be read')
    await expect(connection.query(`SELECT '${'x'.repeat(3000)}'`)).toBeRejectedWith('the limit is 2000')
    await expect(connection.query("INSERT INTO records (session) VALUES ('x') /*worksward_kind='grid'*/"))
      .toBeRejectedWith('readonly')
    await purchase(connection, 'serves-on', 's1')
    expect(await readRequests(connection, 'serves-on')).toEqual(['s1'])
  })

  it('keeps serving other connections when invalid bytes arrive on any port', async () => {
    const connection = await deployment.connect(0)
    const [proxy] = deployment.proxies
    const ports = [proxy!.callerPort, proxy!.kernel.use('peers').port, proxy!.httpPort]
    for (const port of ports) {
      await sendInvalidBytes(port)
      await purchase(connection, 'garbage', `g${port}`)
    }
    expect((await readRequests(connection, 'garbage')).length).toEqual(ports.length)
  })

  it('rejects a peer with a wrong key', async () => {
    const { createPeerClient } = await import('../../src/peers/peer-client.ts')
    const { createDialer } = await import('../../src/core/wire/dialer.ts')
    const client = createPeerClient({ host: 'stranger', key: 'another-key-0123456789', dialer: createDialer() })
    const endpoint = { address: '127.0.0.1', port: deployment.proxies[0]!.kernel.use('peers').port }
    await expect(client.request(endpoint, 'members', [], 1000)).toBeRejectedWith('the link was closed')
    client.close()
  })
})

async function sendInvalidBytes (port: number): Promise<void> {
  for (const bytes of [Buffer.alloc(5000, 0xff), Buffer.from('GET / nonsense\r\n\r\n'), Buffer.from([3, 0, 0, 9, 1, 2, 3])]) {
    await new Promise<void>((resolve) => {
      const socket = connect(port, '127.0.0.1', () => socket.end(bytes))
      socket.on('error', () => {})
      socket.on('data', () => {})
      socket.on('close', () => resolve())
      socket.setTimeout(500, () => socket.destroy())
    })
  }
}
