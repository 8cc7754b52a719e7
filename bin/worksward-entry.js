#!/usr/bin/env node
// Starts the program from its TypeScript source.
import { register } from 'tsx/esm/api'

// The settings are read after the code is loaded, so a change that is announced before needs no action.
process.on('SIGHUP', () => {})
register()
await import('../src/cli/entry/index.ts')
