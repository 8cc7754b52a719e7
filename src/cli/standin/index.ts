/** `worksward-standin`: simulated upstreams, table service and object store for tests. */
import { loadFile, standinSettingsSchema } from '../../core/config/index.ts'
import { createLogger } from '../../core/logger/index.ts'
import { dumpStandins, serveControl } from '../../emulation/standin/control-server.ts'
import { startStandins } from '../../emulation/standin/index.ts'
import { runProgram } from '../run-command.ts'

await runProgram('worksward-standin', (program) => {
  program.command('<settings>', 'Run stand-ins with a YAML settings file').action(async (file: string) => {
    const settings = loadFile(file, standinSettingsSchema)
    const logger = createLogger({ level: settings.log.level, fields: { host: 'standin' } })
    const standins = await startStandins(settings, logger)
    const control = await serveControl(standins, settings.address, settings.controlPort)
    logger.log('info', 'process.started', {
      role: 'standin', platform: standins.platform.endpoint, control: control.port
    })
    const stop = (): void => {
      void Promise.all([control.close(), standins.close()]).then(() => process.exit(0))
    }
    process.on('SIGTERM', stop)
    process.on('SIGINT', stop)
    process.on('SIGUSR2', () => { process.stdout.write(JSON.stringify(dumpStandins(standins), null, 2) + '\n') })
  })
})
