import * as assert from 'node:assert/strict'
import * as fs from 'node:fs'
import * as test from 'node:test'
import * as pages from '../../src/administration/api_page.js'

test.describe('docs/API.md', () => {
  test.it('is what the table of routes makes', () => {
    const page = new URL('../../../docs/API.md', import.meta.url)
    assert.equal(fs.readFileSync(page, 'utf8'), pages.createApiPage())
  })
})
