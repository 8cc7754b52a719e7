import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { CallerRequest, StatementAnswer } from '../../../src/entry/ports/index.ts'
import { createCallerRequests } from '../../../src/entry/requests/caller-requests.ts'

const requestOf = (id: string): CallerRequest => ({ id, statement: { type: 'data', access: 'read', text: 'READ x' } })
const answerOf = (id: string): StatementAnswer => ({ rows: [id], state: 'idle' })

/** Creates the requests of a connection whose answers the test gives. */
function setUp () {
  const served: string[] = []
  const finish = new Map<string, () => void>()
  const answered: string[] = []
  const requests = createCallerRequests({
    serve: async ({ id }) => await new Promise((resolve) => {
      served.push(id)
      finish.set(id, () => resolve(answerOf(id)))
    })
  })
  const send = (id: string): void => {
    void requests.serve(requestOf(id)).then(({ rows }) => answered.push(rows[0]!))
  }
  const settle = async (): Promise<void> => await new Promise((resolve) => { setImmediate(resolve) })
  return { requests, served, answered, finish, send, settle }
}

describe('requests of a connection', () => {
  it('are served one at a time, and answered in their order', async () => {
    const { requests, served, answered, finish, send, settle } = setUp()
    send('a')
    send('b')
    expect([served, requests.unanswered]).toEqual([['a'], 2])
    finish.get('a')!()
    await settle()
    expect([served, answered, requests.unanswered]).toEqual([['a', 'b'], ['a'], 1])
    finish.get('b')!()
    await settle()
    send('c')
    finish.get('c')!()
    await settle()
    expect([answered, requests.unanswered]).toEqual([['a', 'b', 'c'], 0])
  })
})
