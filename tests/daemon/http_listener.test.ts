import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import * as test from 'node:test'
import * as httpListeners from '../../src/daemon/http_listener.js'
import * as rawCallers from '../../platform/tests/raw_caller.js'

const idleMs = 100
/** Longer than the idle time-out with the margin that Node.js adds. */
const pauseMs = 1_500
const request = 'GET / HTTP/1.1\r\nHost: x\r\n\r\n'

test.describe('A listener', () => {
  const server = http.createServer({ keepAliveTimeout: idleMs }, (_request, response) => {
    response.writeHead(200, { 'content-length': '2' }).end('ok')
  })
  let caller: rawCallers.RawCaller

  test.before(async () => await httpListeners.listen(server, { host: '127.0.0.1', port: 0 }))
  test.after(() => {
    server.close()
    server.closeAllConnections()
  })
  test.beforeEach(async () => {
    caller = new rawCallers.RawCaller((server.address() as net.AddressInfo).port)
    await caller.connected()
    caller.write(request)
    await caller.waitFor(rawCallers.completeAnswer)
    caller.received = ''
  })
  test.afterEach(async () => await caller.close())

  // Guards against a probe that is reset by the idle time-out although it lay in the socket while the process stood still.
  test.it('answers a request that came before the idle time-out was over', async () => {
    caller.write(request)
    rawCallers.blockThread(pauseMs)
    await caller.waitFor(rawCallers.completeAnswer)
    assert.match(caller.received, /^HTTP\/1.1 200 [^]*ok$/)
  })

  test.it('closes idle connections', async () => {
    await caller.ended()
    assert.equal(caller.end, 'orderly')
  })
})
