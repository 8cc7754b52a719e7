/** Plug-in `store`: the store, with metrics of the duration of its calls. */
import { registerPlugin } from '../../core/kernel/index.ts'
import type { StorePort } from '../ports/index.ts'

declare module '../../core/kernel/index.ts' {
  interface Services { store: StorePort }
}

registerPlugin({
  name: 'store',
  dependencies: ['ports', 'metrics'],
  start: (context) => {
    const { store } = context.use('ports')
    const record = context.use('metrics').registerTiming('worksward_store_milliseconds', 'Time of calls to the store, by outcome')
    const measure = async <Result>(operation: string, call: () => Promise<Result>): Promise<Result> => {
      const startedAt = performance.now()
      try {
        const result = await call()
        record(operation, performance.now() - startedAt)
        return result
      } catch (thrown) {
        record(`${operation}-failed`, performance.now() - startedAt)
        throw thrown
      }
    }
    return {
      service: {
        list: async (table, onAnswering) => await measure('list', async () => await store.list(table, onAnswering)),
        follow: async (table, after, waitMs, signal, onAnswering) =>
          await measure('follow', async () => await store.follow(table, after, waitMs, signal, onAnswering)),
        write: async (transaction) => await measure('write', async () => await store.write(transaction))
      }
    }
  }
})
