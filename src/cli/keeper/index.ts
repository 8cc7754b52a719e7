/** `worksward-keeper`: monitors upstreams, fences failed primaries and promotes replicas. */
import { keeperSettingsSchema, loadFile } from '../../core/config/index.ts'
import { createLogger } from '../../core/logger/index.ts'
import { createDialer } from '../../core/wire/dialer.ts'
import { startKeeper } from '../../mysql-proxy/start-keeper.ts'
import { runProgram } from '../run-command.ts'
import { runUntilStopped } from '../run-until-stopped.ts'

await runProgram('worksward-keeper', (program) => {
  program.command('<settings>', 'Run a keeper with a YAML settings file').action(async (file: string) => {
    const settings = loadFile(file, keeperSettingsSchema)
    const logger = createLogger({ level: settings.log.level, fields: { host: settings.host.name } })
    await runUntilStopped({
      logger,
      start: async (signal) =>
        await startKeeper(settings, { logger, dialer: createDialer(settings.host.address), signal }),
      onStarted: ({ use }) => logger.log('info', 'process.started', {
        role: 'keeper', peers: use('peers').port, http: use('operators').port
      })
    })
  })
})
