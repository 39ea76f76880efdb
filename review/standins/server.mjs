/**
 * Stand-in of a server: plain requests, prefill, and streams of numbered events. It echoes `Request-Id`, signs its answers and drops
 * a request whose connection closes.
 */
import * as crypto from 'node:crypto'
import * as http from 'node:http'

/** Bytes of the answer to a plain request. */
const plainBytes = 800

export class Server {
  address = ''
  /** Requests that it began to run, in order, with their ends. */
  runs = []
  born = Date.now()
  /** Bytes that are sent once, in place of the next answer to a plain request. */
  spoiledAnswer
  #server = http.createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => this.#answer(request, response, Buffer.concat(chunks).toString()))
  })

  /**
   * `options`: `service`, `stage`, `events` of a stream, `eventMs` between them, `workMs` of a plain request, `isUnframed` (answers have
   * neither a length nor chunks), `resetShare` (share of the plain answers that are broken off by a reset in their middle).
   */
  constructor (id, options, record) {
    this.id = id
    this.options = options
    this.record = record
  }

  start () {
    return new Promise(resolve => {
      this.#server.listen(0, '127.0.0.1', () => {
        this.address = `127.0.0.1:${this.#server.address().port}`
        resolve()
      })
    })
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** The server's entry in the store. */
  describe (state = 'ready') {
    const { service, stage } = this.options
    const engine = stage === undefined ? {} : { stage, models: [{ name: 'm', version: 1, adapters: [] }] }
    return { service, addr: this.address, zone: 'z-a', version: 'v1', slots: stage === undefined ? 6 : 16, state, cold_left_ms: 0, seq: 1, born: this.born, ...engine }
  }

  #answer (request, response, body) {
    const { headers } = request
    const path = request.url
    const echo = headers['request-id'] === undefined ? {} : { 'Request-Id': headers['request-id'] }
    if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== this.id) {
      response.writeHead(421, { ...echo, Instance: this.id, 'Content-Length': 0 }).end()
      return
    }
    if (path.startsWith('/mulberryflow/')) {
      this.#answerCall(response, path)
      return
    }
    if (headers.stage === 'prefill') {
      sendJson(response, { kv_handle: crypto.randomBytes(6).toString('hex'), tokens: Number(headers['token-count'].split(',')[0]), version: 1 }, echo)
      return
    }
    const run = { id: headers['request-id'], path, body, server: this.id, end: 'running', atMs: performance.now() }
    this.runs.push(run)
    this.record(`server ${this.id} runs ${run.id} ${path}`)
    response.on('close', () => {
      if (run.end === 'running') {
        run.end = 'dropped'
        this.record(`server ${this.id} drops ${run.id}, whose connection has closed`)
      }
    })
    const signed = { ...echo, 'Server-Stamp': `${this.id}.${run.id}` }
    if (headers['token-count'] === undefined) {
      setTimeout(() => {
        if (this.spoiledAnswer !== undefined) {
          run.end = 'answer spoiled'
          this.record(`server ${this.id} answers ${run.id} with ${JSON.stringify(this.spoiledAnswer)}`)
          request.socket.end(this.spoiledAnswer)
          this.spoiledAnswer = undefined
          return
        }
        this.#answerPlain(request, response, signed, run)
      }, this.options.workMs)
      return
    }
    this.#stream(response, signed, run, Number(headers['last-event-id'] ?? 0))
  }

  #answerPlain (request, response, signed, run) {
    const { isUnframed, resetShare = 0 } = this.options
    const body = run.id.padEnd(plainBytes, '.')
    if (!isUnframed) {
      run.end = 'answered'
      response.writeHead(200, { ...signed, 'Content-Length': plainBytes }).end(body)
      return
    }
    const { socket } = request
    const head = Object.entries({ ...signed, Connection: 'close' }).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    const isReset = Math.random() < resetShare
    run.end = isReset ? 'reset' : 'answered'
    socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n${isReset ? body.slice(0, plainBytes / 2) : body}`)
    if (isReset) {
      this.record(`server ${this.id} resets the connection in the middle of its answer to ${run.id}`)
      socket.resetAndDestroy()
    } else {
      socket.end()
    }
  }

  #stream (response, signed, run, after) {
    const { events, eventMs, isUnframed } = this.options
    if (isUnframed) {
      response.useChunkedEncodingByDefault = false
      response.shouldKeepAlive = false
    }
    response.writeHead(200, { ...signed, 'Content-Type': 'text/event-stream' })
    response.flushHeaders()
    let event = after
    const next = () => {
      if (run.end !== 'running') {
        return
      }
      event += 1
      response.write(`id: ${event}\ndata: ${run.id} ${event} of ${events}\n\n`)
      if (event < events) {
        setTimeout(next, eventMs)
        return
      }
      run.end = 'answered'
      this.record(`server ${this.id} has answered ${run.id} with ${events} events`)
      response.end()
    }
    setTimeout(next, eventMs)
  }

  #answerCall (response, path) {
    const [, , call] = path.split('/')
    if (call === 'hold-take') {
      sendJson(response, { hold: crypto.randomBytes(6).toString('hex') })
    } else if (call === 'report') {
      sendJson(response, { stage: this.options.stage, models: [{ name: 'm', version: 1, adapters: [] }], busy: false, seq: 0, waiting: 0, running: 0, kv_used: 0, kv_total: 32_224, handles: 0 })
    } else if (call === 'order') {
      response.writeHead(200, { 'Content-Length': 0 }).end()
    } else {
      response.writeHead(200, { 'Content-Length': 0 }).end()
    }
  }
}

function sendJson (response, message, more = {}) {
  const text = JSON.stringify(message)
  response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), ...more }).end(text)
}
