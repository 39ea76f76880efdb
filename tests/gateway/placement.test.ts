import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as choices from '../../src/gateway/plain/plain_choice.js'
import * as fleets from '../../src/gateway/engine_fleet.js'
import * as healths from '../../src/gateway/server_health.js'
import * as prefillPlacements from '../../src/gateway/prefill_placement.js'
import * as routing from '../../src/contracts/routing.js'
import * as seededRandom from '../../src/host/seeded_random.js'

const profile: routing.EngineProfile = { slots: 16, memoryTokens: 32_000, handleMs: 500, switchMs: 6_000, maximumHoldMs: 2_000 }

function createServer (id: string, zone: string, more: Partial<routing.RoutedServer> = {}): routing.RoutedServer {
  return { id, service: 's', address: `10.0.0.1:${id.length}`, zone, slots: 6, state: 'ready', ...more }
}

test.describe('A burst of prompts at the prefill servers', () => {
  /** Time in which a prefill server without other work prefills one prompt, in milliseconds. */
  const unloadedMs = 90
  const runsBeside = 8
  /**
   * Delay of each concurrent run by a prefill at a decode server, in parts of the prefill, which takes twice as long there: decode
   * steps continue between its steps.
   */
  const delayPart = 0.3

  /** Simulates prompts that arrive together at one prefill server; returns the total delay of runs, including their own. */
  function simulate (prompts: number, prefillsAtDecode: (prefillMs: number) => boolean): number {
    let queueMs = 0
    let delayMs = 0
    for (let prompt = 0; prompt < prompts; prompt += 1) {
      const readyMs = queueMs + unloadedMs
      if (prefillsAtDecode(readyMs)) {
        delayMs += 2 * unloadedMs + runsBeside * 2 * unloadedMs * delayPart
      } else {
        queueMs = readyMs
        delayMs += readyMs
      }
    }
    return delayMs
  }

  test.it('delays runs less than prefilling each prompt where it is done sooner', () => {
    const sooner = simulate(8, prefillMs => prefillMs > 2 * unloadedMs)
    const chosen = simulate(8, prefillMs => prefillPlacements.shouldPrefillAtDecode(prefillMs, unloadedMs, runsBeside))
    assert.ok(chosen < sooner, `${chosen} against ${sooner} with each prompt where it is done sooner`)
  })

  test.it('is prefilled by decode servers without other runs as soon as that is sooner', () => {
    assert.equal(prefillPlacements.shouldPrefillAtDecode(2 * unloadedMs + 1, unloadedMs, 0), true)
    assert.equal(prefillPlacements.shouldPrefillAtDecode(2 * unloadedMs - 1, unloadedMs, 0), false)
  })

  test.it('does not wait indefinitely', () => {
    assert.equal(prefillPlacements.shouldPrefillAtDecode(10 * unloadedMs, unloadedMs, 15), true)
  })
})

test.describe('Placement by zone', () => {
  const health = new healths.ServerHealth()

  test.it('keeps a generation at engines of its own zone until those are clearly fuller', () => {
    const fleet = new fleets.EngineFleet('a', health, new seededRandom.SeededRandom(1))
    const servers = [createServer('near', 'a', { stage: 'decode' }), createServer('far', 'b', { stage: 'decode' })]
    const first = (): string | undefined => fleet.rankDecode(servers, profile, 1_000, 0)[0]?.id
    assert.equal(first(), 'near')
    fleet.bookDecode('r1', 'near', 3_500)
    assert.equal(first(), 'near')
    fleet.bookDecode('r2', 'near', 3_500)
    assert.equal(first(), 'far')
  })

  test.it('keeps the KV cache within the zone of the decode server unless the prompt would wait', () => {
    const fleet = new fleets.EngineFleet('a', health, new seededRandom.SeededRandom(1))
    const servers = [createServer('near', 'a', { stage: 'prefill' }), createServer('far', 'b', { stage: 'prefill' })]
    const choose = (): string | undefined => fleet.choosePrefill(servers, 3_000, new Set(), 0, 'b')?.server.id
    assert.equal(choose(), 'far')
    fleet.bookPrefill('r1', 'far', 500, 0)
    assert.equal(choose(), 'far')
    fleet.bookPrefill('r2', 'far', 3_000, 0)
    assert.equal(choose(), 'near')
  })

  test.it('keeps a plain call in its own zone until the load there is higher by more than half of the slots', () => {
    const choice = new choices.PlainChoice('a', health)
    const servers = [createServer('near', 'a'), createServer('far', 'b')]
    const choose = (): string | undefined => choice.choose(servers, new Set(), false, 0, 0.5)?.id
    for (let busy = 0; busy < 3; busy += 1) {
      assert.equal(choose(), 'near')
      choice.start('near')
    }
    choice.start('near')
    assert.equal(choose(), 'far')
  })
})
