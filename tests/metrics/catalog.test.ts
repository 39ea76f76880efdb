import * as assert from 'node:assert/strict'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as test from 'node:test'
import * as url from 'node:url'
import * as catalog from '../../src/metrics/catalog.js'
import * as types from '../../src/metrics/types.js'

const sources = url.fileURLToPath(new URL('../../../src', import.meta.url))

function readSources (): string {
  const files = fs.readdirSync(sources, { recursive: true, encoding: 'utf8' })
  const code = files.filter(file => file.endsWith('.ts') && !file.startsWith('metrics'))
  return code.map(file => fs.readFileSync(path.join(sources, file), 'utf8')).join('\n')
}

test.describe('The catalog of metrics', () => {
  test.it('has only names that the code reports', () => {
    const text = readSources()
    const unused = Object.keys(catalog.metrics).filter(name => !text.includes(`'${name}'`))
    assert.deepEqual(unused, [])
  })

  test.it('is the only source of names and labels', () => {
    const meter = new types.SilentMeter() as types.Meter
    // @ts-expect-error: not in the catalog
    meter.count('requests_totl', {})
    // @ts-expect-error: of another kind
    meter.gauge('requests_total', { workspace: 'a', end: 'answered' }, 1)
    // @ts-expect-error: a label is missing
    meter.count('requests_total', { workspace: 'a' })
    meter.count('requests_total', { workspace: 'a', end: 'answered' })
  })
})
