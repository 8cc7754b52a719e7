/** Reloads the settings of an entry process while it runs. */
import { describeThrown } from '../errors/index.ts'
import type { Logger, LogLevel } from '../logger/index.ts'
import { entrySettingsSchema, type EntrySettings } from './entry-settings.ts'
import { loadFile } from './load-file.ts'

/** Setters of the settings that apply without a restart, by path. */
const RELOADABLE_SETTINGS: Record<string, (settings: EntrySettings, next: EntrySettings) => void> = {
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
  /** Settings of the running process, updated in place. */
  settings: EntrySettings
  logger: Logger
  setLogLevel: (level: LogLevel | 'silent') => void
}

/**
 * Reloads the settings file and applies what does not require a restart. An invalid file changes nothing.
 *
 * @param options - the file, the current settings and the logger
 */
export function reloadSettings ({ file, settings, logger, setLogLevel }: ReloadOptions): void {
  try {
    const next = loadFile(file, entrySettingsSchema)
    const changed = changedPaths(settings, next)
    const applied = changed.filter((path) => Object.hasOwn(RELOADABLE_SETTINGS, path))
    applied.forEach((path) => RELOADABLE_SETTINGS[path]!(settings, next))
    setLogLevel(settings.log.level)
    logger.log('info', 'process.reload', {
      applied: applied.join(',') || 'none', atNextStart: changed.filter((path) => !applied.includes(path)).join(',') || 'none'
    })
  } catch (thrown) {
    logger.log('error', 'process.reload-refused', { file, reason: describeThrown(thrown) })
  }
}

/** Returns the paths of the values that differ. */
function changedPaths (before: object, after: object, prefix = ''): string[] {
  return Object.entries(after).flatMap(([name, value]: [string, unknown]) => {
    const path = `${prefix}${name}`
    const previous = (before as Record<string, unknown>)[name]
    if (typeof value === 'object' && value !== null && typeof previous === 'object' && previous !== null) {
      return changedPaths(previous, value, `${path}.`)
    }
    return value === previous ? [] : [path]
  })
}
