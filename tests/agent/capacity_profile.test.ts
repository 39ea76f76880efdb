import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as test from 'node:test'
import * as capacityProfiles from '../../src/agent/capacity_profile.js'

interface Change {
  readonly inMs: number
  readonly slots: number
  readonly pieces: number
}

function createProfile (slots: number, pieces: number, changes: readonly Change[]): capacityProfiles.CapacityProfile {
  const profile = new capacityProfiles.CapacityProfile(slots, pieces)
  for (const { inMs, slots, pieces } of changes) {
    profile.add(inMs, slots, pieces)
  }
  return profile
}

/** Reference implementation: checks every millisecond, from the last change back. */
function findNaively (slots: number, pieces: number, changes: readonly Change[], fromMs: number, needed: number): number | undefined {
  const last = Math.max(fromMs, ...changes.map(change => change.inMs))
  const isFree = (atMs: number): boolean => {
    const past = changes.filter(change => change.inMs <= atMs)
    const freeSlots = past.reduce((sum, change) => sum + change.slots, slots)
    return freeSlots >= 1 && past.reduce((sum, change) => sum + change.pieces, pieces) >= needed
  }
  let found: number | undefined
  for (let atMs = last; atMs >= fromMs && isFree(atMs); atMs -= 1) {
    found = atMs
  }
  return found
}

test.describe('CapacityProfile', () => {
  test.it('finds the departure after which there is enough capacity', () => {
    const changes = [{ inMs: 300, slots: 1, pieces: 2 }, { inMs: 500, slots: 1, pieces: 4 }]
    assert.equal(createProfile(0, 0, changes).findCapacity(100, 2), 300)
    assert.equal(createProfile(0, 0, changes).findCapacity(100, 6), 500)
    assert.equal(createProfile(0, 0, changes).findCapacity(400, 2), 400)
    assert.equal(createProfile(0, 0, changes).findCapacity(0, 7), undefined)
  })

  test.it('agrees with a check of every millisecond', () => {
    const Change = fc.record({ inMs: fc.nat(20), slots: fc.integer({ min: -2, max: 2 }), pieces: fc.integer({ min: -4, max: 4 }) })
    fc.assert(fc.property(fc.array(Change, { maxLength: 12 }), fc.nat(3), fc.nat(6), fc.nat(25), fc.nat(4), (changes, slots, pieces, fromMs, needed) => {
      const found = createProfile(slots, pieces, changes).findCapacity(fromMs, needed)
      assert.equal(found, findNaively(slots, pieces, changes, fromMs, needed))
    }), { seed: 1, numRuns: 2_000 })
  })
})
