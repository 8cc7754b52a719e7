#!/usr/bin/env node
// Starts the program from its TypeScript source.

// The settings are read after the code is loaded, so a change that is announced before needs no action.
process.on('SIGHUP', () => {})
const { register } = await import('tsx/esm/api')
register()
await import('../src/cli/entry/index.ts')
