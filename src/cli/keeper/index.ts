/** `worksward-keeper`: monitors upstreams, fences failed primaries and promotes replicas. */
import { keeperSettingsSchema, loadFile } from '../../core/config/index.ts'
import { createLogger } from '../../core/logger/index.ts'
import { createDialer } from '../../core/wire/dialer.ts'
import { startKeeper } from '../../mysql-proxy/start-keeper.ts'
import { runProgram, serveUntilStopped } from '../run-command.ts'

await runProgram('worksward-keeper', (program) => {
  program.command('<settings>', 'Run a keeper with a YAML settings file').action(async (file: string) => {
    const settings = loadFile(file, keeperSettingsSchema)
    const logger = createLogger({ level: settings.log.level, fields: { host: settings.host.name } })
    const kernel = await startKeeper(settings, { logger, dialer: createDialer(settings.host.address) })
    const peers = kernel.use('peers').port
    logger.log('info', 'process.started', { role: 'keeper', peers, http: kernel.use('operators').port })
    serveUntilStopped(kernel, logger)
  })
})
