import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'
import * as connections from '../../src/gateway/connection.js'
import * as nodeSystems from '../../src/host/node_system.js'

/** Records an answer; may pause it at its first bytes. */
class RecordingObserver extends connections.AnswerObserver {
  text = ''
  readonly end: Promise<string>
  activeSend: connections.ActiveSend | undefined
  private settle: (end: string) => void = () => {}

  constructor (private readonly pauses: boolean) {
    super()
    this.end = new Promise(resolve => {
      this.settle = resolve
    })
  }

  override started (): void {}

  override received (chunk: Buffer): void {
    this.text += chunk.toString()
    if (this.pauses) {
      this.activeSend?.pause()
    }
  }

  override ended (isClean: boolean): void {
    this.settle(isClean ? 'whole, and the connection may be used again' : 'whole')
  }

  override failed ({ kind }: connections.TransportFailure): void {
    this.settle(kind)
  }
}

test.describe('A connection to a server', () => {
  const { clock } = nodeSystems.createSilentSystem()
  const defects: unknown[] = []
  const recordDefect = (error: unknown): void => {
    defects.push(error)
  }

  /** Sends a request to a server that does what `answer` does with the connection once it has got the request. */
  async function request (answer: (socket: net.Socket) => void, pauses = false): Promise<{ readonly end: string, readonly text: string }> {
    const server = net.createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => answer(socket))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const connection = new connections.ServerConnection(`127.0.0.1:${(server.address() as net.AddressInfo).port}`, clock)
    const observer = new RecordingObserver(pauses)
    observer.activeSend = connection.send({ requestId: 'r', method: 'GET', path: '/', headers: ['Host', 'x'], body: undefined }, observer)
    const end = await Promise.race([observer.end, timers.setTimeout(3_000, 'no end')])
    connection.close()
    server.close()
    return { end, text: observer.text }
  }

  test.before(() => process.on('uncaughtException', recordDefect))
  test.after(() => process.off('uncaughtException', recordDefect))
  test.beforeEach(() => {
    defects.length = 0
  })

  test.describe('that is reset while the answer is paused', () => {
    // Guards against a failed assertion of the HTTP client, after which the request has no end.
    test.it('fails the request', async () => {
      const { end } = await request(socket => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nsome bytes')
        setTimeout(() => socket.resetAndDestroy(), 50)
      }, true)
      assert.deepEqual(defects, [])
      assert.equal(end, 'lost')
    })
  })

  test.describe('with an answer that ends with it', () => {
    const head = 'HTTP/1.1 200 OK\r\n\r\n'

    // Guards against a reset that is found together with the last bytes, and reported as an end.
    test.it('fails the request when it is reset right behind the last bytes', async () => {
      for (let count = 0; count < 50; count += 1) {
        const { end } = await request(socket => {
          socket.write(`${head}${'x'.repeat(400)}`)
          socket.resetAndDestroy()
        })
        assert.equal(end, 'lost')
      }
    })

    test.it('has a whole answer when it is ended', async () => {
      for (let count = 0; count < 50; count += 1) {
        assert.deepEqual(await request(socket => socket.end(`${head}some bytes`)), { end: 'whole', text: 'some bytes' })
        assert.deepEqual(await request(socket => {
          socket.write(`${head}some `)
          setTimeout(() => socket.end('bytes'), 2)
        }), { end: 'whole', text: 'some bytes' })
      }
    })
  })

  test.describe('on which the server sends without end', () => {
    function sendWithoutEnd (socket: net.Socket, start: string, piece: string): void {
      const text = piece.repeat(4_096)
      const send = (): void => {
        if (!socket.destroyed && socket.write(text)) {
          setImmediate(send)
        }
      }
      socket.on('drain', send)
      socket.write(start)
      send()
    }

    // Guards against answers whose parsing takes the thread until the deadline of their request.
    test.it('fails the request: heads before the final one', async () => {
      const { end } = await request(socket => sendWithoutEnd(socket, '', 'HTTP/1.1 102 Processing\r\n\r\n'))
      assert.equal(end, 'lost')
    })

    test.it('fails the request: pieces of one byte', async () => {
      const { end, text } = await request(socket => sendWithoutEnd(socket, 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', '1\r\na\r\n'))
      assert.equal(end, 'lost')
      assert.ok(text.length < 100_000, `${text.length}`)
    })

    test.it('has a whole answer in 10,000 pieces of one byte', async () => {
      const { text } = await request(socket => socket.end(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\na\r\n'.repeat(10_000)}0\r\n\r\n`))
      assert.equal(text, 'a'.repeat(10_000))
    })
  })

  test.describe('on which the status is none', () => {
    for (const status of ['000', '001', '099']) {
      test.it(`fails the request: ${status}`, async () => {
        const { end } = await request(socket => socket.end(`HTTP/1.1 ${status} \r\nContent-Length: 0\r\n\r\n`))
        assert.deepEqual(defects, [])
        assert.equal(end, 'lost')
      })
    }
  })
})
