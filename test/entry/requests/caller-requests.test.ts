import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { CallerRequest, CallerStatement, StatementAnswer } from '../../../src/entry/ports/index.ts'
import { createCallerRequests } from '../../../src/entry/requests/caller-requests.ts'

const READ: CallerStatement = { type: 'data', access: 'read', text: 'READ x' }
const BEGIN: CallerStatement = { type: 'begin', readOnly: false }

/** Turns of the event loop after which nothing more happens by itself. */
const SETTLED_TURNS = 20

/** Creates the requests of a connection whose answers the test gives. */
function setUp () {
  const served: string[] = []
  const finish = new Map<string, (result?: string) => void>()
  const answered: string[] = []
  /** Whether answers are written late, and what tells the requests that they have been. */
  const writing = { isSlow: false, finish: () => {} }
  const events: string[] = []
  const session = {
    idleMs: 7,
    inTransaction: false,
    serve: async ({ id }: CallerRequest) => await new Promise<StatementAnswer>((resolve) => {
      served.push(id)
      finish.set(id, (result = 'done') => resolve({
        rows: [`${id} ${result}`], state: session.inTransaction ? 'open' : 'idle'
      }))
    }),
    refuse: ({ id }: CallerRequest): StatementAnswer => ({ rows: [`${id} refused`], state: 'idle' }),
    interrupt: () => finish.get(served.at(-1) ?? '')?.('interrupted'),
    abortTransaction: () => {},
    close: () => { events.push('closed') }
  }
  const times = { remainingMs: Infinity }
  const link = { end: () => { events.push(`ended after ${answered.length} answers`) } }
  const requests = createCallerRequests({
    session, link, remainingMs: () => times.remainingMs, onClose: () => events.push('forgotten')
  })
  const send = (id: string, statement = READ): void => {
    void requests.serve({ id, statement }).then(({ rows, onWritten }) => {
      answered.push(rows[0]!)
      writing.finish = onWritten ?? (() => {})
      if (!writing.isSlow) {
        writing.finish()
      }
    })
  }
  const settle = async (): Promise<void> => {
    for (let turn = 0; turn < SETTLED_TURNS; turn++) {
      await new Promise((resolve) => { setImmediate(resolve) })
    }
  }
  return { requests, session, served, answered, writing, events, finish, send, settle, times }
}

describe('requests of a connection', () => {
  // Guards against a request that runs although the one before, such as its BEGIN, has failed unexpectedly.
  it('are not served after one that failed unexpectedly', async () => {
    const { requests, session, served, send, settle } = setUp()
    session.serve = async ({ id }) => {
      served.push(id)
      throw new TypeError('unexpected')
    }
    const failed = requests.serve({ id: 'a', statement: BEGIN }).catch((thrown: Error) => thrown.message)
    send('b')
    await settle()
    expect([await failed, served, requests.unanswered]).toEqual(['unexpected', ['a'], 0])
  })

  it('are served one at a time, and answered in their order', async () => {
    const { requests, served, answered, finish, send, settle } = setUp()
    send('a')
    send('b')
    expect([served, requests.unanswered, requests.idleMs]).toEqual([['a'], 2, 0])
    finish.get('a')!()
    await settle()
    expect([served, answered, requests.unanswered]).toEqual([['a', 'b'], ['a done'], 1])
    finish.get('b')!()
    await settle()
    send('c')
    finish.get('c')!()
    await settle()
    expect([answered, requests.unanswered, requests.idleMs]).toEqual([['a done', 'b done', 'c done'], 0, 7])
  })

  it('are written on while the connection will have room again before the host closes', async () => {
    const { requests, times } = setUp()
    const progress = { remainingBytes: 1e7, roomBytes: 1e6, longestWaitMs: 300 }
    expect(requests.mayWriteOn(progress)).toEqual(true)
    times.remainingMs = 700
    expect(requests.mayWriteOn(progress)).toEqual(true)
    times.remainingMs = 500
    expect([requests.mayWriteOn(progress), requests.mayWriteOn({ ...progress, remainingBytes: 1e6 })])
      .toEqual([false, true])
  })

  // Guards against ABORTED for a statement of a transaction that a later request has committed meanwhile.
  it('of a transaction are served once the answer before them is written, others without waiting for it', async () => {
    const { session, served, writing, finish, send, settle } = setUp()
    session.inTransaction = true
    writing.isSlow = true
    send('a')
    send('commit')
    finish.get('a')!()
    await settle()
    expect(served).toEqual(['a'])
    writing.finish()
    await settle()
    expect(served).toEqual(['a', 'commit'])
    session.inTransaction = false
    send('b')
    finish.get('commit')!()
    await settle()
    expect(served).toEqual(['a', 'commit', 'b'])
  })

  it('end with an answer, and those behind it are refused', async () => {
    const { requests, served, answered, events, finish, send, settle } = setUp()
    send('a')
    send('b')
    requests.endAfterAnswer()
    send('c')
    expect(events).toEqual([])
    finish.get('a')!()
    await settle()
    expect([served, answered]).toEqual([['a'], ['a done', 'b refused', 'c refused']])
    expect(events.length > 0).toEqual(true)
    expect([requests.unanswered, events[0]]).toEqual([0, 'ended after 0 answers'])
  })

  it('end only after the transaction, and begin none any more', async () => {
    const { requests, session, answered, events, finish, send, settle } = setUp()
    session.inTransaction = true
    requests.endAfterAnswer()
    send('a')
    finish.get('a')!()
    await settle()
    expect([answered, events]).toEqual([['a done'], []])
    send('commit')
    session.inTransaction = false
    finish.get('commit')!()
    await settle()
    expect([answered, events.length > 0]).toEqual([['a done', 'commit done'], true])
    const other = setUp()
    other.requests.endAfterAnswer()
    other.send('begin', BEGIN)
    await other.settle()
    expect([other.served, other.answered, other.events.length > 0]).toEqual([[], ['begin refused'], true])
  })

  it('are all answered when the connection is ended at once', async () => {
    const { requests, served, answered, events, send, settle } = setUp()
    send('a')
    send('b')
    requests.endNow()
    await settle()
    expect([served, answered, requests.unanswered]).toEqual([['a'], ['a interrupted', 'b refused'], 0])
    expect(events[0]).toEqual('ended after 0 answers')
    requests.close()
    expect(events.slice(-2)).toEqual(['closed', 'forgotten'])
  })
})
