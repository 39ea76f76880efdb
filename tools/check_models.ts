/**
 * Checks the specifications below `models/` with spin: every property must hold, and every seeded fault must be
 * found. Prints one line for each; exits with 1 on any other result.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as modelChecks from './model_checks.js'
import * as path from 'node:path'

/** Longest run of the checker, in milliseconds. */
const timeoutMs = 120_000
/** Longest path of states that is followed. */
const maximumDepth = 100_000
/** Checks that run at the same time. */
const concurrency = 3
/** Memory that the checker may use, in megabytes. */
const memoryMegabytes = 4000

interface Finding {
  /** `undefined` if the checker did not finish. */
  readonly errors: number | undefined
  readonly states: number
  readonly depth: number
  readonly output: string
}

/** Runs a command and resolves with all that it wrote. */
function run (command: string, args: readonly string[], directory: string): Promise<string> {
  const options = { cwd: directory, encoding: 'utf8', timeout: timeoutMs } as const
  return new Promise(resolve => {
    childProcess.execFile(command, args, options, (error, stdout, stderr) => {
      resolve(`${stdout}${stderr}${error?.message ?? ''}`)
    })
  })
}

function findNumber (text: string, pattern: RegExp): number | undefined {
  const match = pattern.exec(text)
  return match === null ? undefined : Number(match[1])
}

/** Builds the checker for one specification and runs it. */
async function runCheck (check: modelChecks.ModelCheck, root: string, directory: string): Promise<Finding> {
  fs.mkdirSync(directory, { recursive: true })
  const source = path.join(root, 'models', `${check.model}.pml`)
  const defines = check.defines.map(define => `-D${define}`)
  const built = await run('spin', [...defines, '-a', source], directory)
  const flags = [check.isLarge === true ? '-O1' : '-O0', '-w', '-DSAFETY', '-DCOLLAPSE', `-DMEMLIM=${memoryMegabytes}`]
  const compiled = await run('gcc', [...flags, '-o', 'pan', 'pan.c'], directory)
  const output = await run(path.join(directory, 'pan'), ['-n', `-m${maximumDepth}`], directory)
  const isCut = /max search depth too small|reached -DMEMLIM|out of memory/.test(output)
  return {
    errors: isCut ? undefined : findNumber(output, /errors: (\d+)/),
    states: findNumber(output, /(\d+) states, stored/) ?? 0,
    depth: findNumber(output, /depth reached (\d+)/) ?? 0,
    output: `${built}${compiled}${output}`
  }
}

function isExpected (check: modelChecks.ModelCheck, finding: Finding): boolean {
  if (finding.errors === undefined) {
    return false
  }
  return check.fault === undefined ? finding.errors === 0 : finding.errors > 0
}

function formatLine (check: modelChecks.ModelCheck, finding: Finding, isGood: boolean): string {
  const subject = check.fault === undefined ? check.property : `${check.property}; without: ${check.fault}`
  const outcome = check.fault === undefined ? 'holds' : 'violation found'
  const verdict = isGood ? outcome : 'UNEXPECTED'
  return `${check.model}: ${subject}: ${verdict} (${finding.states} states, depth ${finding.depth})`
}

/** Takes checks off the list until it is empty. Returns how many had an unexpected result. */
async function work (checks: modelChecks.ModelCheck[], root: string, directory: string): Promise<number> {
  let failed = 0
  for (;;) {
    const check = checks.shift()
    if (check === undefined) {
      return failed
    }
    const finding = await runCheck(check, root, path.join(directory, String(checks.length)))
    const isGood = isExpected(check, finding)
    console.log(formatLine(check, finding, isGood))
    if (!isGood) {
      failed += 1
      console.log(finding.output)
    }
  }
}

async function main (): Promise<number> {
  const root = process.cwd()
  const directory = path.join(root, 'models', 'build')
  fs.rmSync(directory, { recursive: true, force: true })
  const checks = [...modelChecks.modelChecks]
  const workers: Promise<number>[] = []
  for (let worker = 0; worker < concurrency; worker += 1) {
    workers.push(work(checks, root, directory))
  }
  let failed = 0
  for (const part of await Promise.all(workers)) {
    failed += part
  }
  fs.rmSync(directory, { recursive: true, force: true })
  console.log(`${modelChecks.modelChecks.length} checks, ${failed} unexpected`)
  return failed === 0 ? 0 : 1
}

process.exitCode = await main()
