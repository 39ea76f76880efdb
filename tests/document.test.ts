import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as configuration from '../src/contracts/configuration.js'
import * as documents from '../src/configuration/document.js'

function createChange (version: number, name: string, body: unknown): configuration.Change {
  return { version, operation: `op-${version}`, team: 'root', atMs: 0, sections: [{ name, owner: 'root', version, body }] }
}

const hash = 'a'.repeat(64)

test.describe('Document', () => {
  test.describe('applyChange', () => {
    test.it('refuses a change that is not the next one', () => {
      const document = new documents.Document()
      assert.equal(document.applyChange(createChange(2, 'models/m', {})), false)
      assert.equal(document.version, 0)
      assert.equal(document.getModel('m'), undefined)
    })

    test.it('forgets a key that the new key ring no longer holds', () => {
      const document = new documents.Document()
      document.applyChange(createChange(1, 'keys/a', { keys: [{ id: 'k', hash, createdAtMs: 0 }] }))
      assert.equal(document.findKey(hash)?.workspace, 'a')
      document.applyChange(createChange(2, 'keys/a', { keys: [] }))
      assert.equal(document.findKey(hash), undefined)
    })
  })

  test.describe('applySnapshot', () => {
    test.it('never goes back', () => {
      const document = new documents.Document()
      document.applyChange(createChange(1, 'models/m', {}))
      assert.equal(document.applySnapshot({ version: 1, sections: [] }), false)
      assert.notEqual(document.getModel('m'), undefined)
    })

    test.it('removes sections that are gone', () => {
      const document = new documents.Document()
      document.applyChange(createChange(1, 'models/m', {}))
      assert.equal(document.applySnapshot({ version: 5, sections: [] }), true)
      assert.equal(document.getModel('m'), undefined)
    })
  })

  test.describe('createSnapshot', () => {
    test.it('keeps keys from agents', () => {
      const document = new documents.Document()
      document.applyChange(createChange(1, 'keys/a', { keys: [] }))
      assert.deepEqual(document.createSnapshot('agent').sections, [])
      assert.equal(document.createSnapshot('entry').sections.length, 1)
    })
  })

  test.describe('matchRoute', () => {
    test.it('prefers among equal prefixes the route that allows the method', () => {
      const document = new documents.Document()
      const routes = [
        { prefix: '/reports', methods: ['POST'], idempotent: false },
        { prefix: '/reports', methods: ['GET'], idempotent: true }
      ]
      document.applyChange(createChange(1, 'services/a', { routes }))
      assert.equal(document.matchRoute('GET', '/reports')?.route.idempotent, true)
      assert.equal(document.matchRoute('POST', '/reports')?.route.idempotent, false)
      assert.deepEqual(document.matchRoute('PUT', '/reports')?.route.methods, ['POST'])
    })

    test.it('prefers the longest prefix and matches whole path segments', () => {
      const document = new documents.Document()
      const routes = (prefix: string): unknown => ({ routes: [{ prefix, methods: ['GET'], idempotent: true }] })
      document.applyChange(createChange(1, 'services/a', routes('/reports')))
      document.applyChange(createChange(2, 'services/b', routes('/reports/filed')))
      assert.equal(document.matchRoute('GET', '/reports/filed/1')?.service, 'b')
      assert.equal(document.matchRoute('GET', '/reports/1')?.service, 'a')
      assert.equal(document.matchRoute('GET', '/reportsx'), undefined)
    })
  })
})
