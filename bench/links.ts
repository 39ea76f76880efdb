/**
 * Cost of links to an entry: heartbeats by the number of links with work under way, and frames passed on.
 */
import * as childProcess from 'node:child_process'
import * as clientLinks from '../src/links/client_link.js'
import * as linkContexts from '../src/links/link_context.js'
import * as identities from '../src/contracts/identity.js'
import * as slopes from './support/slope.js'
import * as support from './support/link_context.js'
import * as types from '../src/links/types.js'

const linkCounts = [0, 50, 100, 200]
const watchMs = 6000
const framesPerRun = 50_000
const warmUpMs = 3000
const waitStepMs = 10
const longestWaitMs = 30_000

interface Usage {
  readonly links: number
  readonly cpuMsPerSecond: number
  readonly controlBytesPerSecond: number
  readonly heapMb: number
}

class FrameCount extends types.LinkObserver {
  frames = 0

  override notified (): void {
    this.frames += 1
  }
}

async function main (): Promise<void> {
  const peer = childProcess.fork(new URL('./link_peer.js', import.meta.url), { stdio: 'inherit' })
  const { address } = await receive<{ address: identities.Address }>(peer)
  const usages: Usage[] = []
  for (const count of linkCounts) {
    usages.push(await measureHeartbeats(address, count))
  }
  const frames = await measureFrames(address, peer)
  peer.disconnect()
  print(usages, frames)
}

function receive<Message> (peer: childProcess.ChildProcess): Promise<Message> {
  return new Promise(resolve => peer.once('message', message => resolve(message as Message)))
}

async function openLinks (
  address: identities.Address, count: number, observer: types.LinkObserver
): Promise<{ links: clientLinks.ClientLink[], context: linkContexts.LinkContext }> {
  const context = support.createContext('entry')
  const links: clientLinks.ClientLink[] = []
  for (let index = 0; index < count; index += 1) {
    const link = new clientLinks.ClientLink(address, context, observer)
    await link.call('session.heartbeat', { session: 's' }, 1000)
    link.retain()
    links.push(link)
  }
  return { links, context }
}

async function measureHeartbeats (address: identities.Address, count: number): Promise<Usage> {
  const { links, context } = await openLinks(address, count, new types.LinkObserver())
  await context.system.clock.sleep(warmUpMs)
  const before = process.cpuUsage()
  const sentBefore = context.traffic.get('control', 'sent').bytes
  await context.system.clock.sleep(watchMs)
  const used = process.cpuUsage(before)
  const sent = context.traffic.get('control', 'sent').bytes - sentBefore
  for (const link of links) {
    link.close()
  }
  return {
    links: count,
    cpuMsPerSecond: (used.user + used.system) / watchMs,
    controlBytesPerSecond: sent / (watchMs / 1000),
    heapMb: process.memoryUsage().heapUsed / 2 ** 20
  }
}

interface FrameCost {
  readonly entryMicrosecondsPerFrame: number
  readonly agentMicrosecondsPerFrame: number
}

async function measureFrames (address: identities.Address, peer: childProcess.ChildProcess): Promise<FrameCost> {
  const observer = new FrameCount()
  const { links, context } = await openLinks(address, 20, observer)
  const before = process.cpuUsage()
  peer.send({ frames: framesPerRun })
  const { usage } = await receive<{ usage: NodeJS.CpuUsage }>(peer)
  for (let waited = 0; observer.frames < framesPerRun && waited < longestWaitMs; waited += waitStepMs) {
    await context.system.clock.sleep(waitStepMs)
  }
  if (observer.frames < framesPerRun) {
    throw new Error(`Only ${observer.frames} of ${framesPerRun} frames arrived`)
  }
  const used = process.cpuUsage(before)
  peer.send({ frames: framesPerRun })
  const { usage: later } = await receive<{ usage: NodeJS.CpuUsage }>(peer)
  for (const link of links) {
    link.close()
  }
  return {
    entryMicrosecondsPerFrame: (used.user + used.system) / framesPerRun,
    agentMicrosecondsPerFrame: (later.user + later.system - usage.user - usage.system) / framesPerRun
  }
}

function print (usages: readonly Usage[], frames: FrameCost): void {
  const cpu = slopes.fitLine(usages.map(usage => ({ x: usage.links, y: usage.cpuMsPerSecond })))
  const bytes = slopes.fitLine(usages.map(usage => ({ x: usage.links, y: usage.controlBytesPerSecond })))
  const heap = slopes.fitLine(usages.map(usage => ({ x: usage.links, y: usage.heapMb * 1024 })))
  const result = {
    usages,
    perBusyLink: { cpuMsPerSecond: cpu.slope, controlBytesPerSecond: bytes.slope, heapKb: heap.slope },
    frames
  }
  console.log(JSON.stringify(result, undefined, 2))
}

await main()
