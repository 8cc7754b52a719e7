/** `worksward-proxy`: serves callers and is the home of some database groups. */
import { loadFile, proxySettingsSchema } from '../../core/config/index.ts'
import { createLogger } from '../../core/logger/index.ts'
import { createDialer } from '../../core/wire/dialer.ts'
import { startProxy } from '../../mysql-proxy/start-proxy.ts'
import { runProgram } from '../run-command.ts'
import { runUntilStopped } from '../run-until-stopped.ts'

await runProgram('worksward-proxy', (program) => {
  program.command('<settings>', 'Run a proxy with a YAML settings file').action(async (file: string) => {
    const settings = loadFile(file, proxySettingsSchema)
    const logger = createLogger({ level: settings.log.level, fields: { host: settings.host.name } })
    await runUntilStopped({
      logger,
      start: async (signal) =>
        await startProxy(settings, { logger, dialer: createDialer(settings.host.address), signal }),
      onStarted: ({ use }) => logger.log('info', 'process.started', {
        role: 'proxy', callers: use('callers').port, peers: use('peers').port, http: use('operators').port
      })
    })
  })
})
