/**
 * Runs the test files of a folder one at a time, because they measure a process; the arguments are the folder and, for a part of its files, what
 * their names contain. Exits with 1 if anything fails that KNOWN-RED.txt does not list.
 */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as testRunner from 'node:test'
import * as knownRed from './known_red.js'

/** Time in milliseconds after which a test file that has not ended fails. */
const fileTimeoutMs = 900_000

interface TestEvent {
  readonly file?: string | undefined
  readonly name: string
  readonly nesting: number
  readonly details: object
}

/** Runs a file and returns the full names of the tests that failed, without the suites that fail with them. */
async function runFile (file: string): Promise<string[]> {
  const stream = testRunner.run({ files: [file], concurrency: 1, timeout: fileTimeoutMs })
  const failed: string[] = []
  let suites: string[] = []
  stream.on('test:start', ({ nesting, name }) => {
    suites = [...suites.slice(0, nesting), name]
  })
  const getName = (event: TestEvent): string => [...suites.slice(0, event.nesting), event.name].join(' > ')
  stream.on('test:pass', (event: TestEvent) => console.log(`pass ${getName(event)}`))
  stream.on('test:fail', (event: TestEvent) => {
    const name = getName(event)
    if (failed.some(other => other.startsWith(`${name} > `)) || (event.nesting === 0 && event.name === file && failed.length > 0)) {
      return
    }
    const { error } = event.details as { readonly error?: Error & { readonly cause?: unknown } }
    failed.push(name)
    console.log(`FAIL ${name}\n${String(error?.cause ?? error)}`)
  })
  stream.on('test:stdout', ({ message }) => process.stdout.write(message))
  stream.resume()
  await new Promise(resolve => stream.once('end', resolve))
  return failed
}

async function main (): Promise<number> {
  const [folder = '', part = ''] = process.argv.slice(2)
  const files = fs.readdirSync(folder).filter(name => name.endsWith('.test.js') && name.includes(part)).sort()
  const red = knownRed.readKnownRed()
  const failed: string[] = []
  for (const file of files) {
    failed.push(...await runFile(path.resolve(folder, file)))
  }
  const unlisted = failed.filter(name => !red.has(name))
  for (const name of failed.filter(failure => red.has(failure))) {
    console.log(`known red: ${name}`)
  }
  console.log(`${files.length} files, ${unlisted.length} failed and not listed, ${failed.length - unlisted.length} known red`)
  return files.length > 0 && unlisted.length === 0 ? 0 : 1
}

process.exit(await main())
