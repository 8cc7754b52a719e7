#!/usr/bin/env node
// Starts the embedded run from its TypeScript source.
import { register } from 'tsx/esm/api'

register()
await import('../src/cli/demo/index.ts')
