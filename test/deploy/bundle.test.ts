import { execFile } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'
import { before, describe, it } from 'node:test'
import { promisify } from 'node:util'
import { expect } from 'earl'

const run = promisify(execFile)
const ROOT = new URL('../../', import.meta.url).pathname
const COMPILED = `${ROOT}target/worksward-entry.cjs.compiled`

/** Node.js options of the entry process in `deploy/system.toml`. */
function deployedOptions (): string[] {
  const [, options = ''] = /^run = "node (.*) deploy\/start\.cjs"$/m.exec(readFileSync(`${ROOT}deploy/system.toml`, 'utf8')) ?? []
  return options.split(' ')
}

describe('the bundled entry process', () => {
  before(async () => { await run(process.execPath, ['deploy/bundle.js'], { cwd: ROOT }) })

  it('starts with the code cache written at build time', async () => {
    expect(existsSync(COMPILED)).toEqual(true)
    const { stdout, stderr } = await run(process.execPath, [...deployedOptions(), 'deploy/start.cjs', '--version'], { cwd: ROOT })
    expect(stdout).toMatchRegex(/^worksward-entry\//)
    expect(stderr).toEqual('')
  })

  it('ignores the code cache under different Node.js options and logs a warning', async () => {
    const { stdout, stderr } = await run(process.execPath, ['--stack-size=900', 'deploy/start.cjs', '--version'], { cwd: ROOT })
    expect(stdout).toMatchRegex(/^worksward-entry\//)
    expect(stderr).toMatchRegex(/event=process\.code-cache-rejected/)
  })
})
