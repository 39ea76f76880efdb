import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as test from 'node:test'
import * as evidences from '../../src/gateway/crash_evidence.js'
import * as nodeSystems from '../../src/host/node_system.js'

const { ambiguous, single, trial } = evidences.weights

function createEvidence (): evidences.CrashEvidence {
  return new evidences.CrashEvidence(nodeSystems.createSilentSystem().log)
}

test.describe('Evidence on parts of prompts', () => {
  test.describe('that end servers', () => {
    test.it('suspects all parts of a lost run, and blocks them after the end of a trial', () => {
      const evidence = createEvidence()
      evidence.recordEnd('s1', ['a', 'd'], 'w', single, 0)
      assert.equal(evidence.judge(['a', 'd'], 'w', 1).kind, 'suspect')
      evidence.recordEnd('s2', ['a', 'd'], 'w', trial, 10)
      assert.equal(evidence.judge(['a', 'd'], 'w', 11).kind, 'blocked')
      assert.equal(evidence.judge(['d', 'x', 'a'], 'w', 11).kind, 'blocked')
    })

    test.it('blocks nothing for ends that may have a common cause', () => {
      const evidence = createEvidence()
      for (let server = 0; server < 6; server += 1) {
        evidence.recordEnd(`s${server}`, ['a'], 'w', ambiguous, server)
      }
      assert.equal(evidence.judge(['a'], 'w', 10).kind, 'suspect')
    })

    test.it('blocks without a trial after three ends that had no common cause', () => {
      const evidence = createEvidence()
      evidence.recordEnd('s1', ['a'], 'w', single, 0)
      evidence.recordEnd('s2', ['a'], 'w', single, 1_000)
      assert.equal(evidence.judge(['a'], 'w', 1_001).kind, 'suspect')
      evidence.recordEnd('s3', ['a'], 'w', single, 2_000)
      assert.equal(evidence.judge(['a'], 'w', 2_001).kind, 'blocked')
    })

    test.it('tries a part alone that was blocked together with another one, and blocks the one that is left', () => {
      const evidence = createEvidence()
      evidence.recordEnd('s1', ['a', 'd'], 'w', single, 0)
      evidence.recordEnd('s2', ['a', 'd'], 'w', trial, 10)
      assert.equal(evidence.judge(['a'], 'w', 11).kind, 'suspect')
      evidence.recordAnswer(['a'], 'w', 20)
      assert.equal(evidence.judge(['a'], 'w', 21).kind, 'clear')
      assert.equal(evidence.judge(['d'], 'w', 21).kind, 'blocked')
      assert.equal(evidence.judge(['a', 'd'], 'w', 21).kind, 'blocked')
    })

    // Guards against a blocked part that is tried again and again because a sound one was in flight at the same ends, in other runs.
    test.it('blocks a part although a part of other runs was in flight at the same ends', () => {
      const evidence = createEvidence()
      evidence.recordEnd('s1', ['d'], 'w', single, 0)
      evidence.recordEnd('s1', ['x'], 'w', single, 0)
      evidence.recordEnd('s2', ['d'], 'w', trial, 10)
      evidence.recordEnd('s2', ['x'], 'w', single, 10)
      assert.equal(evidence.judge(['d'], 'w', 11).kind, 'blocked')
      assert.equal(evidence.judge(['x'], 'w', 11).kind, 'clear')
    })

    // Guards against trials without end: a sound part that is blocked for ends in common accounted for those of the deadly part.
    test.it('blocks a part although a sound one that it was in flight with is blocked too', () => {
      const evidence = createEvidence()
      evidence.recordAnswer(['x'], 'w', 0)
      evidence.recordEnd('s1', ['x', 'd'], 'w', single, 10)
      evidence.recordEnd('s2', ['y', 'd'], 'w', trial, 20)
      evidence.recordEnd('s3', ['x', 'd'], 'w', trial, 30)
      assert.equal(evidence.judge(['z', 'd'], 'w', 31).kind, 'blocked')
      assert.equal(evidence.judge(['x', 'z'], 'w', 31).kind, 'suspect')
      evidence.recordAnswer(['x', 'z'], 'w', 40)
      assert.equal(evidence.judge(['x'], 'w', 41).kind, 'clear')
      assert.equal(evidence.judge(['z', 'd'], 'w', 41).kind, 'blocked')
    })

    // Guards against a block of the part that all prompts have, where two deadly ones were at all ends of it before it got an answer.
    test.it('tries a part that is at the ends of two others, and clears it', () => {
      const evidence = createEvidence()
      evidence.recordEnd('s1', ['common', 'd'], 'w', single, 0)
      evidence.recordEnd('s2', ['common', 'e'], 'w', single, 1)
      evidence.recordEnd('s3', ['common', 'd'], 'w', trial, 10)
      evidence.recordEnd('s4', ['common', 'e'], 'w', trial, 20)
      assert.equal(evidence.judge(['common', 'x'], 'w', 21).kind, 'suspect')
      assert.equal(evidence.judge(['common', 'd'], 'w', 21).kind, 'blocked')
      assert.equal(evidence.judge(['e', 'common'], 'w', 21).kind, 'blocked')
      evidence.recordAnswer(['common', 'x'], 'w', 30)
      assert.equal(evidence.judge(['common', 'x'], 'w', 31).kind, 'clear')
      assert.equal(evidence.judge(['y', 'd'], 'w', 31).kind, 'blocked')
    })

    // Guards against the block of a sound part whose trial met that of a deadly one at a server.
    test.it('blocks neither of two parts whose trials were lost at the same end', () => {
      const evidence = createEvidence()
      for (const part of ['d', 'x']) {
        evidence.recordEnd('s1', [part], 'w', single, 0)
        evidence.recordEnd('s2', [part], 'w', trial, 10)
      }
      assert.equal(evidence.judge(['d'], 'w', 11).kind, 'suspect')
      assert.equal(evidence.judge(['x'], 'w', 11).kind, 'suspect')
      evidence.recordEnd('s3', ['d'], 'w', trial, 20)
      assert.equal(evidence.judge(['d'], 'w', 21).kind, 'blocked')
    })

    test.it('ends: a blocked part is tried again after ten minutes, and a suspected one forgotten after one', () => {
      const evidence = createEvidence()
      evidence.recordEnd('s1', ['d'], 'w', single, 0)
      evidence.recordEnd('s9', ['r'], 'w', single, 0)
      evidence.recordEnd('s2', ['d'], 'w', trial, 10)
      assert.equal(evidence.judge(['r'], 'w', 59_000).kind, 'suspect')
      assert.equal(evidence.judge(['r'], 'w', 61_000).kind, 'clear')
      assert.equal(evidence.judge(['d'], 'w', 599_000).kind, 'blocked')
      assert.equal(evidence.judge(['d'], 'w', 601_000).kind, 'suspect')
      evidence.recordEnd('s3', ['d'], 'w', trial, 601_500)
      assert.equal(evidence.judge(['d'], 'w', 602_000).kind, 'blocked')
    })
  })

  test.describe('that were there by chance', () => {
    // Guards against the blame of parts that all requests have, because one of them is in flight whenever a server ends.
    test.it('clears a common part at once, whatever it was in flight with', () => {
      const evidence = createEvidence()
      for (let server = 0; server < 5; server += 1) {
        evidence.recordAnswer(['common'], 'w', server * 1_000)
        evidence.recordEnd(`s${server}`, ['common', 'd'], 'w', server === 0 ? single : trial, server * 1_000 + 1)
        assert.notEqual(evidence.judge(['common'], 'w', server * 1_000 + 2).kind, 'blocked')
        evidence.recordAnswer(['common'], 'w', server * 1_000 + 50)
        assert.equal(evidence.judge(['common'], 'w', server * 1_000 + 51).kind, 'clear')
      }
      assert.equal(evidence.judge(['common', 'd'], 'w', 5_000).kind, 'blocked')
    })

    test.it('clears what was in flight at an end for which a blocked part accounts', () => {
      const evidence = createEvidence()
      evidence.recordEnd('s1', ['d'], 'w', single, 0)
      evidence.recordEnd('s1', ['r'], 'v', single, 0)
      assert.equal(evidence.judge(['r'], 'v', 1).kind, 'suspect')
      evidence.recordEnd('s2', ['d'], 'w', trial, 10)
      assert.equal(evidence.judge(['r'], 'v', 11).kind, 'clear')
    })

    // Guards against a caller who gets the prompts of others blocked by naming their parts in requests that end servers.
    test.it('blocks a part for the workspace that lost runs with it, and lets others prove that theirs are sound', () => {
      const evidence = createEvidence()
      evidence.recordEnd('s1', ['victim'], 'attacker', single, 0)
      evidence.recordEnd('s2', ['victim'], 'attacker', trial, 10)
      assert.equal(evidence.judge(['victim'], 'attacker', 11).kind, 'blocked')
      assert.equal(evidence.judge(['victim'], 'owner', 11).kind, 'suspect')
      evidence.recordAnswer(['victim'], 'owner', 20)
      assert.equal(evidence.judge(['victim'], 'owner', 21).kind, 'clear')
      assert.equal(evidence.judge(['victim'], 'attacker', 21).kind, 'blocked')
    })

    test.it('blocks a part for all workspaces once the runs of several were lost', () => {
      const evidence = createEvidence()
      evidence.recordEnd('s1', ['d'], 'v', single, 0)
      evidence.recordEnd('s2', ['d'], 'w', trial, 10)
      assert.equal(evidence.judge(['d'], 'u', 11).kind, 'blocked')
    })
  })

  test.describe('reported by other gateways', () => {
    const end = fc.record({
      server: fc.integer({ min: 0, max: 5 }), part: fc.constantFrom('a', 'b', 'c', 'd'), workspace: fc.constantFrom('v', 'w'), weight: fc.constantFrom(ambiguous, single, trial)
    })

    test.it('sums up to the same beliefs in whatever order and however often it comes', () => {
      fc.assert(fc.property(fc.array(fc.tuple(end, fc.nat()), { minLength: 1, maxLength: 12 }), fc.integer({ min: 1, max: 6 }), (ends, gateways) => {
        const fleet = Array.from({ length: gateways }, createEvidence)
        for (const [{ server, part, workspace, weight }, choice] of ends) {
          fleet[choice % gateways]?.recordEnd(`s${server}`, [part], workspace, weight, server)
        }
        for (let round = 0; round < gateways + 4; round += 1) {
          for (const from of fleet) {
            for (const to of fleet) {
              to.merge(from.listReported(100) ?? {}, 'peer', 100, 100)
            }
          }
        }
        for (const part of ['a', 'b', 'c', 'd']) {
          const verdicts = new Set(fleet.map(evidence => JSON.stringify(evidence.judge([part], 'v', 101))))
          assert.equal(verdicts.size, 1, [...verdicts].join(' '))
        }
      }))
    })

    test.it('stays within bounds under any number of parts', () => {
      const evidence = createEvidence()
      for (let number = 0; number < 20_000; number += 1) {
        evidence.recordEnd(`s${number}`, [`p${number}`], 'w', single, number)
        evidence.recordAnswer([`g${number}`], 'w', number)
      }
      const { suspect, blocked } = evidence.count(20_000)
      assert.ok(suspect + blocked <= 512)
      const reported = JSON.stringify(evidence.listReported(20_000))
      assert.ok(reported.length < 2_000, `${reported.length} bytes`)
      assert.equal(evidence.listReported(90_000), undefined)
    })

    test.it('costs nothing where no server ends', () => {
      const evidence = createEvidence()
      evidence.recordAnswer(['a', 'b'], 'w', 0)
      assert.equal(evidence.listReported(1), undefined)
      assert.equal(evidence.judge(['a'], 'w', 1).kind, 'clear')
    })
  })
})
