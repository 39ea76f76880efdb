/**
 * Cost of the configuration: bytes and processor time per change and per start of a process, against the size
 * of the document, over real links and the store stand-in. `--json` prints the figures as JSON.
 */
import * as net from 'node:net'
import * as process from 'node:process'
import * as changeLogs from '../src/configuration/change_log.js'
import * as changeRequests from '../src/configuration/change_request.js'
import * as checks from '../src/configuration/checks.js'
import * as configuration from '../src/contracts/configuration.js'
import * as credentials from '../src/configuration/credentials.js'
import * as documents from '../src/configuration/document.js'
import * as identities from '../src/contracts/identity.js'
import * as stores from '../standins/store.js'
import * as textTables from '../src/cli/text_table.js'
import * as wired from '../tests/support/wired_process.js'

/** Parts of the size to design for: 520 workspaces, 600 servers and 37 models. */
const shares = [1 / 8, 1 / 4, 1 / 2, 1]
const full = { workspaces: 520, servers: 600, models: 37, keysPerWorkspace: 4 }
const changesMeasured = 40
const changesPerDay = 1_500
const secondsPerDay = 86_400
const renewalsMeasuredMs = 2_000
const renewalPeriodMs = 200
const standardRenewalMs = 5_000
const dutyChanges = 4
/** Longer than the pause between a change and the entries' questions. */
const dutyPauseMs = 2_000

/** Forwards connections and counts their bytes. */
class Relay {
  bytes = 0
  private readonly sockets = new Set<net.Socket>()
  private readonly server: net.Server

  constructor (port: number) {
    this.server = net.createServer(socket => {
      const onward = net.connect(port, '127.0.0.1')
      this.join(socket, onward)
      this.join(onward, socket)
    })
  }

  async listen (): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    return `http://127.0.0.1:${(this.server.address() as net.AddressInfo).port}`
  }

  close (): void {
    for (const socket of this.sockets) {
      socket.destroy()
    }
    this.server.close()
  }

  private join (from: net.Socket, to: net.Socket): void {
    this.sockets.add(from)
    from.on('data', chunk => {
      this.bytes += chunk.length
      to.write(chunk)
    })
    from.on('close', () => {
      this.sockets.delete(from)
      to.destroy()
    })
    from.on('error', () => {})
  }
}

interface Row {
  readonly sections: number
  readonly entryBytesPerChange: number
  readonly agentBytesPerChange: number
  readonly keyChangeEntryBytes: number
  readonly entryStartBytes: number
  readonly agentStartBytes: number
  readonly checkMs: number
  readonly applyMs: number
  readonly snapshotMs: number
}

/** Makes the edits of a document of a share of the full size. */
function createEdits (share: number): readonly changeRequests.Edit[] {
  const edits: changeRequests.Edit[] = []
  for (let index = 0; index < full.models; index += 1) {
    edits.push({ name: `models/model-${index}`, expectedVersion: 0, body: {} })
  }
  for (let index = 0; index < full.servers * share; index += 1) {
    const agent = { host: `127.1.${index >> 8}.${index & 255}`, port: 7_000 }
    const body = { role: 'decode', zone: `zone-${index % 5}`, agent, models: [`model-${index % full.models}`], memoryPieces: 160 }
    edits.push({ name: `servers/server-${index}`, expectedVersion: 0, body })
  }
  for (let index = 0; index < full.workspaces * share; index += 1) {
    const allowance = { tokensPerSecond: 4_000, burstTokens: 40_000 }
    edits.push({ name: `workspaces/workspace-${index}`, expectedVersion: 0, body: { title: `Workspace ${index}`, allowance } })
    const keys = Array.from({ length: full.keysPerWorkspace }, (_, key) => ({
      id: `key-${key}`, hash: credentials.hashSecret(`${index}-${key}`), label: `key ${key}`, createdAtMs: 1_700_000_000_000
    }))
    edits.push({ name: `keys/workspace-${index}`, expectedVersion: 0, body: { keys } })
  }
  return edits
}

async function change (entry: wired.WiredProcess, operation: string, edits: readonly changeRequests.Edit[]): Promise<void> {
  const request = changeRequests.createChangeRequest({ operation, edits: [...edits] })
  const result = await entry.editor?.change(wired.administratorCredential, request)
  const decision = result?.unsafeCoerce()
  if (decision?.kind !== 'accepted') {
    throw new Error(JSON.stringify(decision))
  }
}

async function fill (entry: wired.WiredProcess, share: number): Promise<void> {
  const edits = createEdits(share)
  for (let start = 0; start < edits.length; start += changeRequests.maximumEdits) {
    await change(entry, `fill-${start}`, edits.slice(start, start + changeRequests.maximumEdits))
  }
}

/** Changes allowances one by one; returns after every process has each. */
async function changeAllowances (entry: wired.WiredProcess, others: readonly wired.WiredProcess[], seed: string): Promise<void> {
  for (let index = 0; index < changesMeasured; index += 1) {
    const name = `workspaces/workspace-${index}`
    const section = entry.replica.document.getSection(name)
    const body = { ...section?.body as object, title: `${seed} ${index}` }
    await change(entry, `${seed}-${index}`, [{ name, expectedVersion: section?.version ?? 0, body }])
    await Promise.all(others.map(other => other.reach(entry.replica.version)))
  }
}

function getLinkBytes (subject: wired.WiredProcess): number {
  return subject.traffic.get('control', 'sent').bytes + subject.traffic.get('control', 'received').bytes
}

/** Returns the mean time of one run in milliseconds. */
function measureMs (runs: number, action: () => void): number {
  const start = performance.now()
  for (let run = 0; run < runs; run += 1) {
    action()
  }
  return (performance.now() - start) / runs
}

function measureDecisions (document: documents.Document): Pick<Row, 'checkMs' | 'applyMs' | 'snapshotMs'> {
  const operator = { team: credentials.rootTeam, sections: ['*'] }
  const section = document.getSection('workspaces/workspace-0') as configuration.Section
  const edits = [{ name: section.name, expectedVersion: section.version, body: section.body }]
  const checkMs = measureMs(50, () => checks.checkEdits(edits, { operator, administratorHash: 'a'.repeat(64), document }))
  const snapshot = document.createSnapshot('entry')
  const snapshotMs = measureMs(5, () => new documents.Document().applySnapshot(snapshot))
  const copy = new documents.Document()
  copy.applySnapshot(snapshot)
  const log = new changeLogs.ChangeLog()
  const applyMs = measureMs(500, () => {
    const change = { version: copy.version + 1, operation: 'o', team: 'root', atMs: 0, sections: [section] }
    copy.applyChange(change)
    log.add(change)
  })
  return { checkMs, applyMs, snapshotMs }
}

async function measure (share: number): Promise<Row> {
  const store = new stores.Store()
  const port = await store.listen('127.0.0.1', 0)
  const relay = new Relay(port)
  const storeUrl = `http://127.0.0.1:${port}`
  const editing = await wired.WiredProcess.start({ node: 'editing', storeUrl, entries: [] })
  await editing.replica.whenReady()
  await fill(editing, share)

  const entry = await wired.WiredProcess.start({ node: 'entry', storeUrl: await relay.listen(), entries: [] })
  await entry.replica.whenReady()
  const entryStartBytes = relay.bytes
  const agent = await wired.WiredProcess.start({ node: 'agent', entries: [] })
  agent.replica.hear(editing.replica.version, { node: 'editing', boot: 'b', role: 'entry', zone: 'z', region: 'r', control: editing.address })
  await agent.replica.whenReady()
  const agentStartBytes = getLinkBytes(agent)

  await changeAllowances(editing, [entry, agent], 'warm')
  const before = { entry: relay.bytes, agent: getLinkBytes(agent) }
  await changeAllowances(editing, [entry, agent], 'measured')
  const after = { entry: relay.bytes, agent: getLinkBytes(agent) }
  const ring = editing.replica.document.getSection('keys/workspace-0') as configuration.Section
  await change(editing, 'key', [{ name: ring.name, expectedVersion: ring.version, body: ring.body }])
  await entry.reach(editing.replica.version)
  const row: Row = {
    sections: editing.replica.document.listSections().length,
    entryBytesPerChange: (after.entry - before.entry) / changesMeasured,
    agentBytesPerChange: (after.agent - before.agent) / changesMeasured,
    keyChangeEntryBytes: relay.bytes - after.entry,
    entryStartBytes,
    agentStartBytes,
    ...measureDecisions(editing.replica.document)
  }
  for (const subject of [editing, entry, agent]) {
    await subject.stop()
  }
  relay.close()
  await store.close()
  return row
}

/** Returns the bytes of one renewal of an entry's watch of the store. */
async function measureRenewal (): Promise<number> {
  const store = new stores.Store()
  const relay = new Relay(await store.listen('127.0.0.1', 0))
  const entry = await wired.WiredProcess.start({
    node: 'idle', storeUrl: await relay.listen(), watchRenewMs: renewalPeriodMs, entries: []
  })
  await entry.replica.whenReady()
  const before = relay.bytes
  await new Promise(resolve => setTimeout(resolve, renewalsMeasuredMs))
  const bytes = (relay.bytes - before) * renewalPeriodMs / renewalsMeasuredMs
  await entry.stop()
  relay.close()
  await store.close()
  return bytes
}

/**
 * Returns the bytes for each change at an agent that two entries are responsible for: the change itself, and
 * both entries' questions.
 */
async function measureDuty (): Promise<number> {
  const store = new stores.Store()
  const storeUrl = `http://127.0.0.1:${await store.listen('127.0.0.1', 0)}`
  const entries: identities.Address[] = []
  const agent = await wired.WiredProcess.start({ node: 'agent', entries: [] })
  const started: wired.WiredProcess[] = []
  for (const node of ['e1', 'e2']) {
    const entry = await wired.WiredProcess.start({ node, storeUrl, entries })
    await entry.replica.whenReady()
    entries.push(entry.address)
    started.push(entry)
  }
  const [editing] = started as [wired.WiredProcess]
  const server = { role: 'decode', zone: 'z', agent: agent.address, models: ['m'], memoryPieces: 160 }
  await change(editing, 'server', [
    { name: 'models/m', expectedVersion: 0, body: {} }, { name: 'servers/s', expectedVersion: 0, body: server }
  ])
  await new Promise(resolve => setTimeout(resolve, dutyPauseMs))
  const before = getLinkBytes(agent)
  for (let index = 0; index < dutyChanges; index += 1) {
    await change(editing, `duty-${index}`, [{ name: 'servers/s', expectedVersion: index + 1, body: { ...server, slots: 20 + index } }])
    await new Promise(resolve => setTimeout(resolve, dutyPauseMs))
  }
  const bytes = (getLinkBytes(agent) - before) / dutyChanges
  for (const subject of [...started, agent]) {
    await subject.stop()
  }
  await store.close()
  return bytes
}

/** Returns the slope of a column against the number of sections, by least squares. */
function fitSlope (rows: readonly Row[], column: keyof Row): number {
  const meanX = rows.reduce((sum, row) => sum + row.sections, 0) / rows.length
  const meanY = rows.reduce((sum, row) => sum + row[column], 0) / rows.length
  let covariance = 0
  let variance = 0
  for (const row of rows) {
    covariance += (row.sections - meanX) * (row[column] - meanY)
    variance += (row.sections - meanX) ** 2
  }
  return covariance / variance
}

async function main (): Promise<void> {
  const rows: Row[] = []
  for (const share of shares) {
    rows.push(await measure(share))
  }
  const renewalBytes = await measureRenewal()
  const dutyBytes = await measureDuty()
  const columns = Object.keys(rows[0] ?? {}) as (keyof Row)[]
  const slopes = Object.fromEntries(columns.slice(1).map(column => [column, fitSlope(rows, column)]))
  const last = rows.at(-1) as Row
  const perSecond = {
    entryChangesBytesPerSecond: last.entryBytesPerChange * changesPerDay / secondsPerDay,
    agentChangesBytesPerSecond: last.agentBytesPerChange * changesPerDay / secondsPerDay,
    agentChangesAndQuestionsBytesPerSecond: dutyBytes * changesPerDay / secondsPerDay,
    entryWatchRenewalBytesPerSecond: renewalBytes * 1_000 / standardRenewalMs
  }
  if (process.argv.includes('--json')) {
    console.log(JSON.stringify({ rows, slopesPerSection: slopes, renewalBytes, dutyBytes, perSecond }, undefined, 2))
    return
  }
  console.log(textTables.formatTable(columns, [
    ...rows.map(row => columns.map(column => Number(row[column].toFixed(3)))),
    ['per section', ...columns.slice(1).map(column => Number((slopes[column] ?? 0).toFixed(4)))]
  ]))
  console.log(`bytes for each renewal of a watch: ${renewalBytes.toFixed(0)}; for each change at an agent, questions included: ${dutyBytes.toFixed(0)}`)
  console.log(textTables.formatTable(['at 1,500 changes a day', 'bytes a second'], Object.entries(perSecond).map(
    ([name, value]) => [name, Number(value.toFixed(1))]
  )))
}

await main()
process.exit(0)
