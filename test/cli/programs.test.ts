import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { stringify } from 'yaml'
import { EMBEDDED_OPERATOR_KEY } from '../../src/emulation/embedded/sizes.ts'
import { GROUP, startTestDeployment, type TestDeployment } from '../fixtures/deployment.ts'

const BIN = new URL('../../bin/', import.meta.url).pathname

/** Exit code and output of a program. */
interface ProgramResult {
  code: number | null
  output: string
  errors: string
}

async function runProgram (
  program: string, args: string[], environment: Record<string, string> = {}
): Promise<ProgramResult> {
  const child = spawn(process.execPath, [join(BIN, `${program}.js`), ...args], {
    env: { ...process.env, ...environment }
  })
  let output = ''
  let errors = ''
  child.stdout.on('data', (chunk) => { output += String(chunk) })
  child.stderr.on('data', (chunk) => { errors += String(chunk) })
  const code = await new Promise<number | null>((resolve) => child.once('close', resolve))
  return { code, output, errors }
}

describe('programs', () => {
  const folder = mkdtempSync(join(tmpdir(), 'worksward-cli-'))
  after(() => rmSync(folder, { recursive: true }))

  for (const program of ['worksward', 'worksward-proxy', 'worksward-keeper', 'worksward-standin', 'worksward-load']) {
    it(`${program} prints its usage`, async () => {
      const { code, output } = await runProgram(program, ['--help'])
      expect(code).toEqual(0)
      expect(output).toMatchRegex(/Usage:/)
    })
  }

  for (const program of ['worksward-proxy', 'worksward-keeper', 'worksward-standin']) {
    it(`${program} reports path, reason and hint for an invalid settings file and exits with code 2`, async () => {
      const file = join(folder, `${program}.yaml`)
      writeFileSync(file, 'host: { name: a }\nlisten: { http: never }\nunknown: 1\n')
      const { code, errors } = await runProgram(program, [file])
      expect(code).toEqual(2)
      expect(errors).toMatchRegex(/hint: /)
      expect(errors).toMatchRegex(/unknown/)
    })
  }

  it('worksward names an unknown command', async () => {
    const { code, errors } = await runProgram('worksward', ['aply'])
    expect(code).toEqual(2)
    expect(errors).toMatchRegex(/unknown command 'aply'/)
  })
})

describe('worksward against running proxies', () => {
  const folder = mkdtempSync(join(tmpdir(), 'worksward-cli-'))
  const file = join(folder, 'declarations.yaml')
  let deployment: TestDeployment
  before(async () => { deployment = await startTestDeployment() })
  after(async () => {
    await deployment.close()
    rmSync(folder, { recursive: true })
  })

  const run = async (args: string[], key = EMBEDDED_OPERATOR_KEY): Promise<ProgramResult> => await runProgram('worksward', args, {
    WORKSWARD_SERVER: `127.0.0.1:${deployment.proxies[0]!.httpPort}`, WORKSWARD_KEY: key
  })

  it('plans and applies a file and reports each host that has it in force', async () => {
    deployment.declarations.groups[GROUP]!.limits.queue = 88
    writeFileSync(file, stringify(deployment.declarations))
    expect((await run(['plan', file])).output).toMatchRegex(/member-a\.limits\.queue\s+200\s+88/)
    const { code, output } = await run(['apply', file, '--wait', '--reason', 'test'])
    expect(code).toEqual(0)
    for (const { name } of [...deployment.proxies, ...deployment.keepers]) {
      expect(output).toMatchRegex(new RegExp(`^${name}: in force$`, 'm'))
    }
    expect((await run(['plan', file])).output).toEqual('nothing would change\n')
  })

  it('names a host that cannot be reached before the timeout, though other hosts still reach it', async () => {
    deployment.declarations.groups[GROUP]!.limits.queue = 89
    writeFileSync(file, stringify(deployment.declarations))
    deployment.network.cut('proxy-1', 'proxy-3')
    const { code, errors } = await run(['apply', file, '--wait', '--timeout', '0'])
    deployment.network.mend()
    expect(code).toEqual(1)
    expect(errors).toMatchRegex(/proxy-3/)
  })

  it('runs queries with output as a table or as JSON', async () => {
    const table = await run(['query', 'show upstreams order by upstream'])
    expect(table.output.split('\n').length).toEqual(5)
    const json = await run(['query', 'show upstreams order by upstream', '--json'])
    expect((JSON.parse(json.output) as Array<{ upstream: string }>).map(({ upstream }) => upstream))
      .toEqual([`${GROUP}-1`, `${GROUP}-2`, `${GROUP}-3`])
    const wrong = await run(['query', 'show upstraems'])
    expect([wrong.code, /did you mean 'upstreams'/.test(wrong.errors)]).toEqual([2, true])
  })

  it('rejects a change by an operator without the right', async () => {
    const { code, errors } = await run(['query', `set ${GROUP}.limits.queue = 1`], 'not-a-key')
    expect(code).toEqual(1)
    expect(errors).toMatchRegex(/does not carry the right/)
  })
})
