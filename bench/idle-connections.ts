/** Memory and processor time of callers that are connected and idle. */
import { measureIdleCallers } from './slopes/callers.ts'
import { round2 } from './throughput.ts'
import type { Measurement, Row } from './types.ts'

/** Measures one proxy process; the callers are in another. */
export const idleConnections: Measurement = {
  title: 'Idle callers',
  description: 'Memory in use after collecting garbage (without the kernel\'s socket buffers) and processor time of one ' +
    'proxy process; the callers are in another process.',
  run: async () => {
    const { memory, processor } = await measureIdleCallers()
    const [first] = memory
    return memory.map(({ size, cost }, index): Row => ({
      callers: size,
      'memory MB': round2(cost / 1024),
      'KB for each more': size === first!.size ? '' : round2((cost - first!.cost) / (size - first!.size)),
      'processor ms/s': round2(processor[index]!.cost)
    }))
  }
}
