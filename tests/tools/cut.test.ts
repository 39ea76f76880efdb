import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as test from 'node:test'
import * as cuts from '../../tools/cut.js'

/** Time in milliseconds after which a test that waits for ever fails. */
const hangMs = 30_000

test.describe('Cut', () => {
  let echo: net.Server
  let cut: cuts.Cut
  let port: number

  test.beforeEach(async () => {
    echo = net.createServer(socket => {
      socket.on('error', () => {})
      socket.pipe(socket)
    })
    await new Promise<void>(resolve => echo.listen(0, '127.0.0.1', resolve))
    cut = new cuts.Cut({ host: '127.0.0.1', port: (echo.address() as net.AddressInfo).port })
    port = await cut.listen('127.0.0.1', 0)
  })

  test.afterEach(async () => {
    await cut.close()
    await new Promise(resolve => echo.close(resolve))
  })

  async function connect (): Promise<net.Socket> {
    const socket = net.connect(port, '127.0.0.1')
    await new Promise<void>((resolve, reject) => socket.once('connect', resolve).once('error', reject))
    return socket
  }

  async function ask (socket: net.Socket, text: string): Promise<string> {
    const answer = new Promise<string>((resolve, reject) => {
      socket.once('data', data => resolve(data.toString()))
      socket.once('error', reject)
    })
    socket.write(text)
    return answer
  }

  test.it('forwards both ways', async () => {
    const socket = await connect()
    assert.equal(await ask(socket, 'hello'), 'hello')
    socket.destroy()
  })

  test.it('resets open connections and new ones until restored', async () => {
    const socket = await connect()
    await ask(socket, 'hello')
    cut.cut()
    await assert.rejects(ask(socket, 'again'), /ECONNRESET|EPIPE/)
    await assert.rejects(connect().then(late => ask(late, 'late')), /ECONNRESET|EPIPE/)
    cut.restore()
    const fresh = await connect()
    assert.equal(await ask(fresh, 'fresh'), 'fresh')
    fresh.destroy()
  })

  test.it('makes an open connection silent for good while new ones work', async () => {
    const socket = await connect()
    await ask(socket, 'hello')
    cut.silenceOpen()
    let heard = ''
    socket.on('data', data => {
      heard += data.toString()
    })
    socket.write('swallowed')
    const fresh = await connect()
    assert.equal(await ask(fresh, 'fresh'), 'fresh')
    assert.deepEqual([heard, socket.destroyed, cut.openCount], ['', false, 2])
    fresh.destroy()
    socket.destroy()
  })

  test.it('closes a connection whose end is still being sent', { timeout: hangMs }, async () => {
    const socket = await connect()
    await ask(socket, 'hello')
    const closed = new Promise(resolve => socket.once('close', resolve))
    socket.end()
    cuts.resetSocket(socket)
    await closed
  })

  test.it('passes a closed connection on', async () => {
    const socket = await connect()
    await ask(socket, 'hello')
    const ended = new Promise(resolve => socket.once('end', resolve))
    socket.end()
    await ended
  })

  // Guards against a forwarder that makes a broken answer look whole.
  test.it('passes the end on behind bytes that it holds up', async () => {
    const server = net.createServer(socket => socket.on('error', () => {}).end('bytes'))
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const slow = new cuts.Cut({ host: '127.0.0.1', port: (server.address() as net.AddressInfo).port })
    slow.delay(100)
    const socket = net.connect(await slow.listen('127.0.0.1', 0), '127.0.0.1')
    let received = ''
    socket.on('data', chunk => {
      received += chunk.toString()
    })
    await new Promise(resolve => socket.once('close', resolve))
    assert.equal(received, 'bytes')
    server.close()
    await slow.close()
  })
})
