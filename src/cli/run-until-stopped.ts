/** Runs a process from its start to its planned stop. */
import { describeThrown } from '../core/errors/index.ts'
import type { Kernel } from '../core/kernel/index.ts'
import type { Logger } from '../core/logger/index.ts'
import { startSignalClock } from '../core/time/signal-clock.ts'

/** Exit code after a stop that failed. */
const EXIT_FAILED = 1

/** Options of {@link runUntilStopped}. */
interface RunOptions {
  logger: Logger
  /**
   * Starts the process.
   *
   * @param signal - aborted when the process is told to stop; nothing more is started then
   */
  start: (signal: AbortSignal) => Promise<Kernel>
  /** Called once everything is started, unless the process is to stop. */
  onStarted: (kernel: Kernel) => void
  /** Time from the beginning of a stop to its latest end, in milliseconds; unlimited by default. */
  stopLimitMs?: number
  /** Ends the process. */
  exit?: (code: number) => void
}

/**
 * Installs the signal handlers and starts the process. SIGTERM and SIGINT stop it gracefully, even while it starts;
 * SIGUSR2 prints its state.
 *
 * @param options - how to start it
 * @throws the error of the start
 */
export async function runUntilStopped (
  { logger, start, onStarted, stopLimitMs, exit = process.exit }: RunOptions
): Promise<void> {
  const stopController = new AbortController()
  const signalClock = startSignalClock()
  const stop = (signal: string): void => {
    if (stopController.signal.aborted) {
      return
    }
    const requestedAt = signalClock.earliestSentAt()
    signalClock.close()
    logger.log('info', 'process.stopping', { signal, lateMs: Math.round(performance.now() - requestedAt) })
    stopController.abort()
    if (stopLimitMs !== undefined) {
      setTimeout(() => {
        logger.log('warn', 'process.stop-limit', { limitMs: stopLimitMs })
        exit(0)
      }, requestedAt + stopLimitMs - performance.now())
    }
    // A start that fails is reported by the caller of this function.
    starting.then(async (kernel) => exit(await stopKernel(kernel, requestedAt, logger)), () => {})
  }
  process.on('SIGTERM', () => stop('SIGTERM'))
  process.on('SIGINT', () => stop('SIGINT'))
  process.on('SIGUSR2', () => {
    void starting.then((kernel) => process.stdout.write(JSON.stringify(kernel.dump(), null, 2) + '\n'))
  })

  const starting = start(stopController.signal)
  const kernel = await starting
  if (!stopController.signal.aborted) {
    onStarted(kernel)
  }
}

/** Stops a kernel; returns the exit code. */
async function stopKernel (kernel: Kernel, requestedAt: number, logger: Logger): Promise<number> {
  try {
    await kernel.stop(requestedAt)
    logger.log('info', 'process.stopped')
    return 0
  } catch (thrown) {
    logger.log('error', 'process.stop-failed', { reason: describeThrown(thrown) })
    return EXIT_FAILED
  }
}
