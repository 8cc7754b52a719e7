/** Plug-in `console`: the operators' commands and changes on a proxy, by HTTP. */
import type { ProxySettings } from '../../core/config/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { createAcceptance } from './acceptance.ts'
import type { CommandContext } from './commands.ts'
import { CONSOLE_PATHS } from './console-paths.ts'
import { answerWorkRequests } from './work-state.ts'

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
      acceptance: createAcceptance(configuration, context.logger)
    }

    answerWorkRequests(peers, membership)
    Object.entries(CONSOLE_PATHS).forEach(([path, answer]) =>
      operators.handle(path, async (request) => await answer(commandContext, request)))
    return { service: {} }
  }
})
