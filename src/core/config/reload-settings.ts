/** Settings of an entry process that apply while it runs, when its file has changed. */
import { describeThrown } from '../errors/index.ts'
import type { Logger, LogLevel } from '../logger/index.ts'
import { entrySettingsSchema, type EntrySettings } from './entry-settings.ts'
import { loadFile } from './load-file.ts'

/** How each setting that applies at once is taken over, by its path. */
const LIVE_SETTINGS: Record<string, (settings: EntrySettings, next: EntrySettings) => void> = {
  graceSeconds: (settings, { graceSeconds }) => { settings.graceSeconds = graceSeconds },
  drainMs: (settings, { drainMs }) => { settings.drainMs = drainMs },
  'limits.windowSeconds': (settings, { limits }) => { settings.limits.windowSeconds = limits.windowSeconds },
  'limits.tolerance.part': (settings, { limits }) => { settings.limits.tolerance.part = limits.tolerance.part },
  'limits.tolerance.operations': (settings, { limits }) => {
    settings.limits.tolerance.operations = limits.tolerance.operations
  },
  'log.level': (settings, { log }) => { settings.log.level = log.level }
}

/** Options of {@link reloadSettings}. */
interface ReloadOptions {
  file: string
  /** Settings of the running process; those that apply at once are changed in it. */
  settings: EntrySettings
  logger: Logger
  setLogLevel: (level: LogLevel | 'silent') => void
}

/**
 * Reads the settings again and takes over what applies at once. A file with a mistake changes nothing.
 *
 * @param options - the file and the running settings
 */
export function reloadSettings ({ file, settings, logger, setLogLevel }: ReloadOptions): void {
  try {
    const next = loadFile(file, entrySettingsSchema)
    const changed = changedPaths(settings, next)
    const live = changed.filter((path) => path in LIVE_SETTINGS)
    live.forEach((path) => LIVE_SETTINGS[path]!(settings, next))
    setLogLevel(settings.log.level)
    logger.log('info', 'process.reload', {
      applied: live.join(',') || 'none', atNextStart: changed.filter((path) => !live.includes(path)).join(',') || 'none'
    })
  } catch (thrown) {
    logger.log('error', 'process.reload-refused', { file, reason: describeThrown(thrown) })
  }
}

/** Paths of the values in which two settings differ. */
function changedPaths (before: object, after: object, prefix = ''): string[] {
  return Object.entries(after).flatMap(([name, value]: [string, unknown]) => {
    const path = `${prefix}${name}`
    const former = (before as Record<string, unknown>)[name]
    if (typeof value === 'object' && value !== null && typeof former === 'object' && former !== null) {
      return changedPaths(former, value, `${path}.`)
    }
    return value === former ? [] : [path]
  })
}
