/** Plug-in `console`: serves the operators' commands and configuration changes over HTTP on a proxy. */
import type { ProxySettings } from '../../core/config/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { createConfigurationWriter } from './configuration-writer.ts'
import type { CommandContext } from './commands.ts'
import { CONSOLE_PATHS } from './console-paths.ts'
import { handleDrainRequests } from './drain-state.ts'

declare module '../../core/kernel/index.ts' {
  interface Services { console: object }
}

registerPlugin({
  name: 'console',
  dependencies: ['operators', 'configuration', 'membership', 'routing', 'callers', 'peers'],
  start: (context) => {
    const configuration = context.use('configuration')
    const membership = context.use('membership')
    const peers = context.use('peers')
    const operators = context.use('operators')
    const commandContext: CommandContext = {
      settings: context.settings as ProxySettings,
      logger: context.logger,
      peers,
      sources: { configuration, membership, routing: context.use('routing'), callers: context.use('callers') },
      configurationWriter: createConfigurationWriter(configuration, context.logger)
    }

    handleDrainRequests(peers, membership)
    Object.entries(CONSOLE_PATHS).forEach(([path, handler]) =>
      operators.handle(path, async (request) => await handler(commandContext, request)))
    return { service: {} }
  }
})
