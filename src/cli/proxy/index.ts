/** `worksward-proxy`: serves callers and is the home of some database groups. */
import { loadFile, proxySettingsSchema } from '../../core/config/index.ts'
import { createLogger } from '../../core/logger/index.ts'
import { createDialer } from '../../core/wire/dialer.ts'
import { startProxy } from '../../mysql-proxy/start-proxy.ts'
import { runProgram, serveUntilStopped } from '../run-command.ts'

await runProgram('worksward-proxy', (program) => {
  program.command('<settings>', 'Run a proxy with a YAML settings file').action(async (file: string) => {
    const settings = loadFile(file, proxySettingsSchema)
    const logger = createLogger({ level: settings.log.level, fields: { host: settings.host.name } })
    const kernel = await startProxy(settings, { logger, dialer: createDialer(settings.host.address) })
    const callers = kernel.use('callers').port
    const peers = kernel.use('peers').port
    logger.log('info', 'process.started', { role: 'proxy', callers, peers, http: kernel.use('operators').port })
    serveUntilStopped(kernel, logger)
  })
})
