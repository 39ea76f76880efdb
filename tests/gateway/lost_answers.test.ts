/**
 * A burst of calls to plain servers, some of which lose a part of their answers. A call that must run only once is lost with its answer.
 */
import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as choices from '../../src/gateway/plain/plain_choice.js'
import * as healths from '../../src/gateway/server_health.js'
import * as routing from '../../src/contracts/routing.js'
import * as seededRandom from '../../src/host/seeded_random.js'

const slots = 6
const workMs = 18
const lossPart = 0.45
const repeatablePart = 0.28
const exchangeMs = 200
const lossy: ReadonlySet<string> = new Set(['l1', 'l2'])
const servers: readonly routing.RoutedServer[] = ['sound', 'l1', 'l2'].map((id, index) => ({
  id, service: 's', address: `10.0.0.${index}:1`, zone: ['a', 'b', 'c'][index] ?? '', slots, state: 'ready'
}))

interface Call {
  readonly server: string
  readonly gateway: number
  readonly endsMs: number
  readonly isLost: boolean
}

interface Simulation {
  /** Calls that must run only once, and how many of them lost their answer. */
  readonly once: number
  readonly lost: number
  /** Longest queue at the healthy server, in calls. */
  readonly longestQueue: number
}

/** Simulates four seconds of a burst. The healthy server alone has capacity for the calls that must run only once. */
function simulate (gateways: number, seed: number): Simulation {
  const random = new seededRandom.SeededRandom(seed)
  const fleet = Array.from({ length: gateways }, (_, index) => {
    const health = new healths.ServerHealth()
    return { health, choice: new choices.PlainChoice(['a', 'b', 'c'][index % 3] ?? '', health) }
  })
  const free = new Map(servers.map(({ id }) => [id, new Array<number>(slots).fill(0)]))
  let running: Call[] = []
  let once = 0
  let lost = 0
  let crowd = 0
  for (let nowMs = 0; nowMs < 4_000; nowMs += 1) {
    for (const call of running.filter(({ endsMs }) => endsMs <= nowMs)) {
      const { health, choice } = fleet[call.gateway] as typeof fleet[number]
      const present = running.filter(({ server, endsMs }) => server === call.server && endsMs > nowMs).length
      const load = { running: Math.min(slots, present), waiting: Math.max(0, present - slots), slots }
      choice.finish(call.server, call.isLost ? undefined : load, nowMs)
      health.record(call.server, call.isLost ? 'silent' : 'good', nowMs, workMs)
    }
    running = running.filter(({ endsMs }) => endsMs > nowMs)
    crowd = Math.max(crowd, running.filter(({ server }) => server === 'sound').length - slots)
    if (random.nextUnit() < 0.3) {
      const gateway = random.nextInteger(gateways)
      const { choice } = fleet[gateway] as typeof fleet[number]
      const isRepeatable = random.nextUnit() < repeatablePart
      const server = choice.choose(servers, new Set(), isRepeatable, nowMs, random.nextUnit())?.id ?? ''
      const slotsFree = free.get(server) ?? []
      const slot = slotsFree.indexOf(Math.min(...slotsFree))
      const endsMs = Math.max(nowMs, slotsFree[slot] ?? 0) + workMs
      slotsFree[slot] = endsMs
      const isLost = lossy.has(server) && random.nextUnit() < lossPart
      choice.start(server)
      running.push({ server, gateway, endsMs, isLost })
      once += isRepeatable ? 0 : 1
      lost += isLost && !isRepeatable ? 1 : 0
    }
    if (nowMs % exchangeMs === 0) {
      for (const [index, from] of fleet.entries()) {
        for (const to of fleet.filter(other => other !== from)) {
          to.health.updatePeer(`g${index}`, from.health.listOutcomes(nowMs), nowMs)
        }
      }
    }
  }
  return { once, lost, longestQueue: crowd }
}

test.describe('A burst of calls to plain servers that lose answers', () => {
  for (const gateways of [6, 24]) {
    test.it(`loses less than a quarter of the calls that an even distribution would lose, with ${gateways} gateways`, () => {
      for (let seed = 1; seed <= 5; seed += 1) {
        const { once, lost, longestQueue: crowd } = simulate(gateways, seed)
        const spread = once * lossPart * lossy.size / servers.length
        assert.ok(lost < spread / 4, `seed ${seed}: ${lost} of ${once} lost, an even distribution loses ${Math.round(spread)}, queue ${crowd}`)
        assert.ok(crowd <= 24, `seed ${seed}: ${crowd} calls wait at the healthy server`)
      }
    })
  }
})
