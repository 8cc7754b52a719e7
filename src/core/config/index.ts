/** Configuration: schemas of settings and declarations, and the loader that validates files against them. */
export * from './declarations.ts'
export * from './entry-settings.ts'
export * from './settings.ts'
export { loadFile, parseContent, readText } from './load-file.ts'
