/**
 * A play in virtual time: gateways that choose plain servers for calls in calm and bursts, on VMs that are slow for a while.
 */
import * as choices from '../../src/gateway/plain/server_choice.js'
import * as healths from '../../src/gateway/server_health.js'
import * as messages from '../../src/gateway/peer_messages.js'
import * as routing from '../../src/contracts/routing.js'
import * as seededRandom from '../../src/host/seeded_random.js'
import * as serverLoads from '../../src/gateway/plain/server_loads.js'
import * as silent from '../../src/host/node_system.js'
import * as types from '../../src/gateway/types.js'

const zones = ['a', 'b', 'c', 'd'] as const
const slots = 6
const lengthMs = 24_000
const exchangeMs = 100
const burstFactor = 2.5
const deadlineMs = 2_500

export interface Load {
  readonly gateways: number
  readonly servers: number
  readonly perSecond: number
  readonly workMs: number
  readonly goalMs: number
  /** Whether VMs are 2.5 times slower for some 600 ms at a time. */
  readonly hasSlowPhases: boolean
  /** The first server is always four times slower, and claims to be empty and fast. */
  readonly hasFalseClaims?: boolean
  /** Part of the calls that the first server never answers. */
  readonly lostPart?: number
}

/** How the calls ended. */
export interface Result {
  readonly inGoalPart: number
  readonly otherZonePart: number
  readonly lost: number
}

interface Running {
  readonly gateway: number
  readonly startedMs: number
  readonly chosen: choices.ChosenServer
  leftMs: number
  readonly isLost: boolean
}

/** Plays the load; without `tellsSlowness` servers send three figures, so that the earlier choice is used. */
export function play (load: Load, tellsSlowness: boolean, seed: number): Result {
  const random = new seededRandom.SeededRandom(seed)
  const servers = Array.from({ length: load.servers }, (_, index): routing.RoutedServer => ({
    id: `s${index}`, service: 's', address: `10.0.0.${index}:1`, zone: zones[index % zones.length] ?? '', slots, state: 'ready'
  }))
  const fleet = Array.from({ length: load.gateways }, (_, index) => {
    const zone = zones[index % zones.length] ?? ''
    const health = new healths.ServerHealth()
    const { log } = silent.createSilentSystem()
    const known = new serverLoads.ServerLoads(log)
    const choice = new choices.ServerChoice(zone, health, known, new seededRandom.SeededRandom(seed * 100 + index), log)
    choice.setOtherGateways(load.gateways - 1)
    return { zone, health, known, choice }
  })
  const queues = servers.map((): Running[] => [])
  const slowUntil = servers.map(() => 0)
  let sent: { readonly from: number, readonly atMs: number, readonly plain: Record<string, messages.PlainStatement> | undefined }[] = []
  let silentCalls: (Running & { readonly endsMs: number })[] = []
  const counts = { calls: 0, inGoal: 0, otherZone: 0, lost: 0 }

  function end (call: Running, nowMs: number, reported: types.ReportedLoad | undefined): void {
    const { choice, health, known } = fleet[call.gateway] as typeof fleet[number]
    const { server } = call.chosen
    if (reported !== undefined) {
      known.recordReport(server, reported, nowMs)
    }
    choice.finish(call.chosen, { startedMs: call.startedMs, load: reported, kind: reported === undefined ? 'silent' : 'answered' }, nowMs)
    health.record(server.id, reported === undefined ? 'silent' : 'good', nowMs, nowMs - call.startedMs)
    counts.lost += reported === undefined ? 1 : 0
    counts.inGoal += reported !== undefined && nowMs - call.startedMs <= load.goalMs ? 1 : 0
  }

  for (let nowMs = 0; nowMs < lengthMs; nowMs += 1) {
    for (const [index, queue] of queues.entries()) {
      if (load.hasSlowPhases && nowMs >= (slowUntil[index] ?? 0) && random.nextUnit() < 1 / 2_000) {
        slowUntil[index] = nowMs + 400 + 400 * random.nextUnit()
      }
      const isFalse = load.hasFalseClaims === true && index === 0
      const slowness = isFalse ? 4 : nowMs < (slowUntil[index] ?? 0) ? 2.5 : 1
      for (const call of queue.slice(0, slots)) {
        call.leftMs -= 1 / slowness
        if (call.leftMs <= 0) {
          queue.splice(queue.indexOf(call), 1)
          if (call.isLost) {
            silentCalls.push({ ...call, endsMs: call.startedMs + deadlineMs })
            continue
          }
          const figures = isFalse
            ? { running: 0, waiting: 0, slots, slowness: 1 }
            : { running: Math.min(slots, queue.length), waiting: Math.max(0, queue.length - slots), slots, slowness }
          end(call, nowMs, tellsSlowness ? figures : { running: figures.running, waiting: figures.waiting, slots })
        }
      }
    }
    for (const call of silentCalls.filter(({ endsMs }) => endsMs <= nowMs)) {
      end(call, nowMs, undefined)
    }
    silentCalls = silentCalls.filter(({ endsMs }) => endsMs > nowMs)
    const factor = nowMs % 8_000 >= 5_000 ? burstFactor : 1
    if (random.nextUnit() < load.perSecond * factor / 1_000) {
      const gateway = random.nextInteger(load.gateways)
      const { choice, zone } = fleet[gateway] as typeof fleet[number]
      const isRepeatable = random.nextUnit() < 0.35
      const verdict = choice.choose({ servers, excluded: new Set(), isRepeatable, goalMs: load.goalMs, remainingMs: deadlineMs }, nowMs, random.nextUnit())
      counts.calls += 1
      if (verdict.kind === 'chosen') {
        const { server } = verdict
        const index = servers.indexOf(server)
        const distanceMs = server.zone === zone ? 0 : 2
        choice.start(server.id, nowMs)
        counts.otherZone += distanceMs > 0 ? 1 : 0
        const leftMs = distanceMs + load.workMs * (0.7 + 0.6 * random.nextUnit())
        queues[index]?.push({ gateway, startedMs: nowMs, chosen: verdict, leftMs, isLost: index === 0 && random.nextUnit() < (load.lostPart ?? 0) })
      }
    }
    if (nowMs % exchangeMs === 0) {
      // Messages are applied one period after they were written; those of other zones in every second period only.
      for (const { from, atMs, plain } of sent) {
        for (const [to, gateway] of fleet.entries()) {
          if (to !== from && (gateway.zone === fleet[from]?.zone || nowMs % (2 * exchangeMs) === 0)) {
            gateway.known.updatePeer(`g${from}`, plain, atMs, nowMs)
          }
        }
      }
      sent = fleet.map(({ known }, from) => ({ from, atMs: nowMs, plain: known.listReported(nowMs) }))
      for (const [from, { health }] of fleet.entries()) {
        const outcomes = health.listOutcomes(nowMs)
        for (const [to, gateway] of fleet.entries()) {
          if (to !== from) {
            gateway.health.updatePeer(`g${from}`, outcomes, nowMs)
          }
        }
      }
    }
  }
  return { inGoalPart: counts.inGoal / counts.calls, otherZonePart: counts.otherZone / counts.calls, lost: counts.lost }
}
