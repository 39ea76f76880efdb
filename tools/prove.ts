/**
 * Runs what proves the twelve points and prints one line for each; `--faults` leaves out the model check. Writes
 * `docs/PROOFS.md`, and exits with 1 if anything fails that KNOWN-RED.txt does not list.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as testRunner from 'node:test'
import * as url from 'node:url'
import * as knownReds from './known_red.js'
import * as proofPage from './proof_page.js'
import * as proofTable from './proof_table.js'

/** Test files that run at the same time; each starts a deployment of about ten processes. */
const concurrency = 2
/** Time in milliseconds after which a test file that has not ended fails. */
const fileTimeoutMs = 300_000
const built = url.fileURLToPath(new URL('..', import.meta.url))

interface TestResult {
  readonly file: string
  /** Names of the suites and the test. */
  readonly name: string
  readonly isPassed: boolean
}

interface Evidence {
  readonly results: readonly TestResult[]
  /** What the model check printed for each run; `undefined` if it did not run. */
  readonly modelLines: readonly string[] | undefined
  /** Names of the tests that are known to be red. */
  readonly knownRed: ReadonlySet<string>
}

/** Runs the test files and returns a result for every test, also for those of a file that broke off. */
async function runTests (files: readonly string[], totals: Map<string, number>): Promise<TestResult[]> {
  const results: TestResult[] = []
  const paths = files.map(file => path.join(built, 'tests', `${file}.test.js`))
  const stream = testRunner.run({ files: paths, concurrency, timeout: fileTimeoutMs })
  const suites = new Map<string, string[]>()
  stream.on('test:start', ({ file = '', nesting, name }) => {
    const names = suites.get(file) ?? []
    names.length = nesting
    suites.set(file, [...names, name])
  })
  const note = (isPassed: boolean) => (event: TestEvent): void => {
    const name = [...(suites.get(event.file ?? '') ?? []).slice(0, event.nesting), event.name].join(' > ')
    results.push({ file: getFile(event.file ?? ''), name, isPassed })
    console.log(`${isPassed ? 'pass' : 'FAIL'} ${name}${isPassed ? '' : `\n${describeError(event)}`}`)
  }
  stream.on('test:pass', note(true))
  stream.on('test:fail', note(false))
  stream.on('test:stdout', ({ message }) => addCounts(message, totals))
  stream.resume()
  await new Promise(resolve => stream.once('end', resolve))
  return results
}

/** Adds up the counts that fault tests print. */
function addCounts (message: string, totals: Map<string, number>): void {
  for (const match of message.matchAll(/^counts (\{.*\})$/gm)) {
    const counts = JSON.parse(match[1] as string) as Record<string, unknown>
    for (const [name, count] of Object.entries(counts)) {
      if (typeof count === 'number') {
        totals.set(name, (totals.get(name) ?? 0) + count)
      }
    }
  }
}

interface TestEvent {
  readonly file?: string | undefined
  readonly name: string
  readonly nesting: number
  readonly details: object
}

function describeError (event: TestEvent): string {
  const { error } = event.details as { readonly error?: Error & { readonly cause?: unknown } }
  return String(error?.cause ?? error)
}

function getFile (file: string): string {
  return path.relative(path.join(built, 'tests'), file).replace(/\.test\.[jt]s$/, '').replace(/^.*tests\//, '')
}

function runModelCheck (): string[] {
  const { stdout } = childProcess.spawnSync(process.execPath, [path.join(built, 'tools', 'check_models.js')], { encoding: 'utf8' })
  return stdout.split('\n').filter(line => line !== '')
}

function judge (point: proofTable.Point, evidence: Evidence): { state: string, detail: string } {
  const found = point.tests.map(test => evidence.results.filter(result => isOf(result, test)))
  const all = found.flat()
  const failed = all.filter(result => !result.isPassed)
  const missing = found.filter(results => results.length === 0).length
  const properties = point.properties.map(property => checkProperty(property, evidence.modelLines))
  const detail = `${all.length - failed.length} of ${all.length} tests passed, ${missing} missing; ` +
    `${properties.filter(holds => holds === true).length} of ${properties.length} properties hold` +
    (evidence.modelLines === undefined && properties.length > 0 ? ' (model check not run)' : '')
  if (missing > 0 || properties.includes(false) || failed.some(result => !evidence.knownRed.has(result.name))) {
    return { state: 'NOT PROVED', detail }
  }
  return { state: failed.length > 0 ? 'red' : 'proved', detail }
}

function isOf (result: TestResult, test: proofTable.ProofTest): boolean {
  return result.file === test.file && result.name.startsWith(test.name)
}

/** Tells whether a property holds and all faults seeded for it were found; `undefined` if the check did not run. */
function checkProperty (property: string, lines: readonly string[] | undefined): boolean | undefined {
  if (lines === undefined) {
    return undefined
  }
  const own = lines.filter(line => line.includes(`: ${property}:`) || line.includes(`: ${property};`))
  return own.length > 0 && own.every(line => !line.includes('UNEXPECTED'))
}

async function main (): Promise<number> {
  const files = new Set(proofTable.points.flatMap(point => point.tests.map(test => test.file)))
  const totals = new Map<string, number>()
  const results = await runTests([...files], totals)
  const modelLines = process.argv.includes('--faults') ? undefined : runModelCheck()
  const evidence = { results, modelLines, knownRed: knownReds.readKnownRed() }
  let isGood = true
  console.log()
  for (const [index, point] of proofTable.points.entries()) {
    const { state, detail } = judge(point, evidence)
    isGood &&= state !== 'NOT PROVED'
    console.log(`${String(index + 1).padStart(2)} ${state.padEnd(10)} ${point.title}: ${detail}`)
  }
  const unlisted = results.filter(result => !result.isPassed && isLeaf(result, results) && !evidence.knownRed.has(result.name))
  const red = results.filter(result => !result.isPassed && evidence.knownRed.has(result.name))
  for (const { name } of red) {
    console.log(`known red: ${name}`)
  }
  console.log(`counts under faults: ${[...totals].map(([name, count]) => `${name} ${count}`).join(', ')}`)
  console.log(`${results.length} results, ${unlisted.length} failed and not listed, ${red.length} known red`)
  fs.writeFileSync('docs/PROOFS.md', proofPage.createPage())
  return isGood && unlisted.length === 0 ? 0 : 1
}

/** A suite fails with its tests; only a suite without failed tests is a failure of its own. */
function isLeaf (result: TestResult, results: readonly TestResult[]): boolean {
  return !results.some(other => !other.isPassed && other.name.startsWith(`${result.name} > `))
}

process.exit(await main())
