import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as importGraph from '../support/import_graph.js'

/** What an agent shares with the administration API of an entry. */
const probeModules = ['administration/open_route', 'administration/probe_application', 'administration/response']

function listUnwanted (entryPoint: string, pattern: RegExp): readonly string[] {
  return importGraph.listLoaded(entryPoint).filter(name => pattern.test(name))
}

test.describe('Modules loaded', () => {
  test.describe('by the daemon before it knows its role', () => {
    test.it('are of no role', () => {
      assert.deepEqual(listUnwanted('daemon/main', /^(administration|agent|allowances|cli|configuration\/replica|entry)|_process$/), ['daemon/daemon_process'])
    })
  })

  test.describe('by the daemon first of all', () => {
    test.it('are the settings of V8 and no others', () => {
      assert.equal(importGraph.listImports('daemon/main')[0], './v8_settings.js')
      assert.deepEqual(importGraph.listLoaded('daemon/v8_settings'), ['daemon/v8_settings', 'node:v8', 'node:vm'])
    })
  })

  test.describe('by an agent', () => {
    test.it('are those of its engine and its links', () => {
      const loaded = importGraph.listLoaded('daemon/agent_process')
      for (const name of ['agent/agent', 'configuration/replica', 'links/listener', 'undici']) {
        assert.ok(loaded.includes(name), name)
      }
    })

    test.it('are no administration API but the probes', () => {
      assert.deepEqual(listUnwanted('daemon/agent_process', /^administration\//), probeModules)
    })

    test.it('are no editor of the configuration, no store client, no entry and no operators\' tool', () => {
      assert.deepEqual(listUnwanted('daemon/agent_process',
        /^(cli|entry|machines)\/|^host\/(etcd|http)_|^configuration\/(editor|checks|change_request|draft|history|operation_store|credentials|rules)$/), [])
    })

    test.it('are no libraries of entries or of the operators\' tool', () => {
      assert.deepEqual(listUnwanted('daemon/agent_process', /^(commander|hdr-histogram-js|xxhash-wasm|yaml)$/), [])
    })
  })

  test.describe('by an entry', () => {
    test.it('are those of callers and administration', () => {
      const loaded = importGraph.listLoaded('daemon/entry_process')
      for (const name of ['entry/entry', 'administration/listener', 'configuration/editor', 'h3/node']) {
        assert.ok(loaded.includes(name), name)
      }
    })

    test.it('are no engine client and no operators\' tool', () => {
      assert.deepEqual(listUnwanted('daemon/entry_process',
        /^(agent|cli)\/|^(commander|eventsource-parser|hdr-histogram-js|parse-prometheus-text-format|yaml)$/), [])
    })
  })
})
