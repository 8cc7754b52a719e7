/** `worksward`: the operator's command line. */
import { declarationsSchema, loadFile } from '../../core/config/index.ts'
import { doubleSha1 } from '../../mysql/password.ts'
import { runProgram } from '../run-command.ts'

await runProgram('worksward', (program) => {
  program.command('check <file>', 'Check a declarations file').action((file: string) => {
    const { groups } = loadFile(file, declarationsSchema)
    process.stdout.write(`${file}: ${Object.keys(groups).length} groups, no mistakes\n`)
  })
  program.command('hash-password <password>', 'Print the hash of a password, for declarations')
    .action((password: string) => { process.stdout.write(doubleSha1(String(password)).toString('hex') + '\n') })
  program.command('dump <address>', 'Print the state of a process, by the ip:port of its HTTP endpoint')
    .action(async (address: string) => {
      const response = await fetch(`http://${address}/dump`)
      process.stdout.write(await response.text())
    })
})
