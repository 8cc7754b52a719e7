#!/usr/bin/env node
// Starts the program from its TypeScript source.
import { register } from 'tsx/esm/api'

register()
await import('../src/cli/entry/index.ts')
