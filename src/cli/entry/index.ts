/** `worksward-entry`: serves callers on an entry host of the platform. */
import { entrySettingsSchema } from '../../core/config/entry-settings.ts'
import { loadFile } from '../../core/config/load-file.ts'
import { reloadSettings } from '../../core/config/reload-settings.ts'
import { createBudgetedLogger } from '../../core/logger/budget.ts'
import { createBoundedStream } from '../../core/logger/bounded-stream.ts'
import { createLogger } from '../../core/logger/index.ts'
import { createDialer } from '../../core/wire/dialer.ts'
import { stopTimesOf } from '../../entry/requests/stop-times.ts'
import { startEntry } from '../../entry/start-entry.ts'
import { exitAfterCrash, runProgram } from '../run-command.ts'
import { runUntilStopped } from '../run-until-stopped.ts'

/** Environment variable with the path of the settings file, used if the command line has none. */
const SETTINGS_VARIABLE = 'WORKSWARD_BOOT'
const STANDARD_OUTPUT = 1

void runProgram('worksward-entry', (program) => {
  program.command('[settings]', `Run an entry process; the YAML settings file may stand in ${SETTINGS_VARIABLE}`)
    .action(async (file: string | undefined) => {
      const settingsFile = file ?? process.env[SETTINGS_VARIABLE] ?? ''
      const settings = loadFile(settingsFile, entrySettingsSchema)
      const writer = createLogger({
        level: settings.log.level, fields: { host: settings.host.name }, stream: createBoundedStream(STANDARD_OUTPUT)
      })
      const logger = createBudgetedLogger(writer)
      process.on('uncaughtException', (error) => exitAfterCrash(error, logger))
      process.on('SIGHUP', () => reloadSettings({
        file: settingsFile, settings, logger, setLogLevel: writer.setLevel
      }))
      await runUntilStopped({
        logger,
        stopLimitMs: stopTimesOf(settings.graceSeconds * 1000).limitMs,
        start: async (signal) =>
          await startEntry(settings, { logger, dialer: createDialer(settings.host.address), signal }),
        onStarted: () => logger.log('info', 'process.started', {
          role: 'entry', callers: settings.listen.callers, peers: settings.listen.peers, http: settings.listen.metrics
        })
      })
    })
})
