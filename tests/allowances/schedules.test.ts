import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as fleets from './fleet.js'
import * as test from 'node:test'

const nodes = ['a', 'b', 'c']
const settleMs = 2500
const runs = Number(process.env.SCHEDULE_RUNS ?? 60)
const seed = Number(process.env.SCHEDULE_SEED ?? 20261203)

const node = fc.constantFrom(...nodes)
const forMs = fc.integer({ min: 100, max: 8000 })
const storeFault = fc.oneof(
  fc.record({ kind: fc.constant('outage' as const), forMs }),
  fc.record({ kind: fc.constant('lost_answers' as const), node, count: fc.integer({ min: 1, max: 4 }) })
)
const anyFault = fc.oneof(
  storeFault,
  fc.record({ kind: fc.constant('pause' as const), node, forMs }),
  fc.record({ kind: fc.constant('kill' as const), node, forMs }),
  fc.record({ kind: fc.constant('leave' as const), node }),
  fc.record({ kind: fc.constant('cut' as const), node, other: node, forMs }),
  fc.record({ kind: fc.constant('isolate' as const), node, forMs }),
  fc.record({ kind: fc.constant('step_clock' as const), forMs }),
  fc.record({ kind: fc.constant('allowance' as const), isLarge: fc.boolean() })
)
const load = fc.record({
  kind: fc.constant('load' as const),
  node,
  tokens: fc.integer({ min: 1, max: 6000 }),
  usedShare: fc.constantFrom(0, 0.3, 1),
  runsMs: fc.integer({ min: 1, max: 3000 }),
  waitMs: fc.integer({ min: 0, max: 700 })
})

type Fault = (typeof anyFault) extends fc.Arbitrary<infer Value> ? Value : never

async function createFleet (): Promise<fleets.Fleet> {
  const fleet = new fleets.Fleet()
  fleet.addWorkspace('w', 1000, 10_000)
  for (const name of nodes) {
    fleet.start(name)
  }
  await fleet.clock.advance(settleMs)
  return fleet
}

function inject (fleet: fleets.Fleet, fault: Fault): void {
  const later = (delayMs: number, action: () => void): void => {
    fleet.clock.after(delayMs, action)
  }
  switch (fault.kind) {
    case 'outage':
      fleet.setStoreDown(true)
      return later(fault.forMs, () => fleet.setStoreDown(false))
    case 'lost_answers': {
      const store = fleet.entries.get(fault.node)?.store
      if (store !== undefined) {
        store.lostAnswers = fault.count
      }
      return
    }
    case 'pause': {
      const gate = fleet.entries.get(fault.node)?.gate
      gate?.pause()
      return later(fault.forMs, () => gate?.resume())
    }
    case 'kill':
      fleet.kill(fault.node)
      return later(fault.forMs, () => fleet.entries.has(fault.node) || fleet.start(fault.node))
    case 'leave':
      fleet.entries.get(fault.node)?.host.leave()
      return
    case 'cut':
      fleet.cuts.add(`${fault.node} ${fault.other}`)
      return later(fault.forMs, () => fleet.cuts.delete(`${fault.node} ${fault.other}`))
    case 'isolate': {
      const store = fleet.entries.get(fault.node)?.store
      store?.setDown(true)
      return later(fault.forMs, () => store?.setDown(false))
    }
    case 'step_clock':
      return fleet.clock.stepWall(-fault.forMs)
    case 'allowance':
      return changeAllowance(fleet, fault.isLarge)
  }
}

/** Alternates between the allowance that the overshoot is computed from and a smaller one. */
function changeAllowance (fleet: fleets.Fleet, isLarge: boolean): void {
  fleet.addWorkspace('w', isLarge ? 1000 : 400, isLarge ? 10_000 : 5000)
}

async function finish (fleet: fleets.Fleet): Promise<void> {
  await fleet.clock.advance(12_000)
  for (const entry of fleet.entries.values()) {
    entry.host.stop()
  }
  fleet.addWorkspace('w', 1000, 10_000)
}

test.describe('Allowances under generated schedules', () => {
  test.it('never exceed rate and burst in any time window', async () => {
    const schedule = fc.array(fc.oneof({ weight: 5, arbitrary: load }, { weight: 1, arbitrary: anyFault }), {
      minLength: 20, maxLength: 80
    })
    await fc.assert(fc.asyncProperty(schedule, async steps => {
      const fleet = await createFleet()
      for (const step of steps) {
        if (step.kind !== 'load') {
          inject(fleet, step)
          continue
        }
        fleet.request(step.node, 'w', step.tokens, step.usedShare, step.runsMs)
        await fleet.clock.advance(step.waitMs)
        fleet.findLeaseholder()
      }
      await finish(fleet)
      assert.ok(fleet.getOvershoot('w') <= 1e-3, `overshoot of ${fleet.getOvershoot('w')} tokens`)
    }), { seed, numRuns: runs })
  })

  test.it('refuse no charge within the rate during store outages, lost answers and hand-overs', async () => {
    const fault = fc.oneof(
      storeFault,
      fc.record({ kind: fc.constant('isolate' as const), node, forMs }),
      fc.record({ kind: fc.constant('step_clock' as const), forMs }),
      fc.record({ kind: fc.constant('leave_and_restart' as const) })
    )
    const schedule = fc.array(fc.tuple(fault, fc.integer({ min: 4000, max: 9000 })), { minLength: 1, maxLength: 4 })
    await fc.assert(fc.asyncProperty(schedule, async faults => {
      const fleet = await createFleet()
      let isLoaded = true
      const ask = (index: number): void => {
        if (isLoaded) {
          fleet.request(nodes[index % 3] as string, 'w', 1000, 0.5, 200)
          fleet.clock.after(1100, () => ask(index + 1))
        }
      }
      ask(0)
      for (const [step, waitMs] of faults) {
        if (step.kind === 'leave_and_restart') {
          await replaceKeeper(fleet)
        } else {
          inject(fleet, step)
        }
        await fleet.clock.advance(waitMs)
      }
      isLoaded = false
      await finish(fleet)
      assert.deepEqual(fleet.refused, [])
    }), { seed, numRuns: runs })
  })
})

/** Drains the leaseholder while the store is up, and starts a new process on its VM. */
async function replaceKeeper (fleet: fleets.Fleet): Promise<void> {
  await fleet.clock.advance(9000)
  const leaseholder = fleet.findLeaseholder()
  if (leaseholder === undefined) {
    return
  }
  const left = fleet.entries.get(leaseholder)?.host.leave()
  await fleet.clock.advance(3500)
  await left
  fleet.kill(leaseholder)
  fleet.start(leaseholder)
}
