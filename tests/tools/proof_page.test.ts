import * as assert from 'node:assert/strict'
import * as fs from 'node:fs'
import * as test from 'node:test'
import * as modelChecks from '../../tools/model_checks.js'
import * as proofPage from '../../tools/proof_page.js'
import * as proofTable from '../../tools/proof_table.js'

test.describe('Page of the proofs', () => {
  test.it('is current', () => {
    assert.equal(fs.readFileSync('docs/PROOFS.md', 'utf8'), proofPage.createPage())
  })

  test.it('names seeded faults of the properties of their points', () => {
    for (const { properties, seenToFail } of proofTable.points) {
      const faults = new Set(modelChecks.modelChecks.filter(check => properties.includes(check.property)).map(({ fault }) => fault))
      const named = [...seenToFail.matchAll(/`([A-Z_]+)`/g)].map(match => match[1])
      assert.deepEqual(named.filter(fault => !faults.has(fault)), [])
    }
  })

  test.it('names files and properties that exist', () => {
    const properties = new Set(modelChecks.modelChecks.map(({ property }) => property))
    for (const point of proofTable.points) {
      assert.deepEqual(point.properties.filter(property => !properties.has(property)), [])
      assert.deepEqual(point.tests.filter(({ file }) => !fs.existsSync(`tests/${file}.test.ts`)), [])
    }
  })
})
