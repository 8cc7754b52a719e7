/** `worksward-entry`: takes callers on an entry host of the users' platform. */
import { entrySettingsSchema } from '../../core/config/entry-settings.ts'
import { loadFile } from '../../core/config/load-file.ts'
import { createBudgetedLogger } from '../../core/logger/budget.ts'
import { createBoundedStream } from '../../core/logger/bounded-stream.ts'
import { createLogger } from '../../core/logger/index.ts'
import { createDialer } from '../../core/wire/dialer.ts'
import { startEntry } from '../../processes/entry.ts'
import { endAfter, runProgram, serveUntilStopped } from '../run-command.ts'

/** Names the settings file when the command line does not. */
const SETTINGS_VARIABLE = 'WORKSWARD_BOOT'
const STANDARD_OUTPUT = 1

await runProgram('worksward-entry', (program) => {
  program.command('[settings]', `Run an entry process; the YAML settings file may stand in ${SETTINGS_VARIABLE}`)
    .action(async (file: string | undefined) => {
      const settings = loadFile(file ?? process.env[SETTINGS_VARIABLE] ?? '', entrySettingsSchema)
      const logger = createBudgetedLogger(createLogger({
        level: settings.log.level, fields: { host: settings.host.name }, stream: createBoundedStream(STANDARD_OUTPUT)
      }))
      const kernel = await startEntry(settings, { logger, dialer: createDialer(settings.host.address) })
      logger.log('info', 'process.started', {
        role: 'entry', callers: settings.listen.callers, peers: settings.listen.peers, http: settings.listen.metrics
      })
      process.on('uncaughtException', (error) => endAfter(error, logger))
      process.on('SIGHUP', () => {
        logger.log('info', 'process.reload', { changed: 'nothing that applies without a restart' })
      })
      serveUntilStopped(kernel, logger)
    })
})
