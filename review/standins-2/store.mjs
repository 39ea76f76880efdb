/**
 * Stand-in of the platform's store: items with revisions, transactions, leases and watches over HTTP, in memory. It acknowledges a write after it
 * has applied it, and answers after the few milliseconds that the deployment sheets name.
 */
import * as http from 'node:http'

const answerDelayMs = 4

export class Store {
  items = new Map()
  leases = new Map()
  history = []
  revision = 1
  /** While set, connections get no answer. */
  isDown = false
  #watches = new Set()
  #nextLease = 1
  #server = http.createServer((request, response) => this.#receive(request, response))
  #timer = setInterval(() => this.#expire(), 20)

  async start (host) {
    await new Promise(resolve => this.#server.listen(0, host, resolve))
    this.address = `${host}:${this.#server.address().port}`
  }

  close () {
    clearInterval(this.#timer)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Writes as the operator or a server does; the return is the acknowledgement. */
  write (key, value) {
    this.#put(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0)
    this.#wake()
  }

  remove (key) {
    this.#delete(key)
    this.#wake()
  }

  #put (key, value, lease) {
    this.revision += 1
    const item = { key, value, rev: this.revision, create_rev: this.items.get(key)?.create_rev ?? this.revision, lease }
    this.items.set(key, item)
    this.history.push(item)
  }

  #delete (key) {
    if (this.items.delete(key)) {
      this.revision += 1
      this.history.push({ key, rev: this.revision, tombstone: true })
    }
  }

  #expire () {
    for (const [id, lease] of this.leases) {
      if (lease.endsMs <= performance.now()) {
        this.#endLease(id)
      }
    }
  }

  #endLease (id) {
    this.leases.delete(id)
    for (const item of [...this.items.values()]) {
      if (item.lease === id) {
        this.#delete(item.key)
      }
    }
    this.#wake()
  }

  #receive (request, response) {
    const pieces = []
    request.on('data', piece => pieces.push(piece))
    request.on('end', () => {
      if (!this.isDown) {
        setTimeout(() => this.#answer(request, response, Buffer.concat(pieces).toString()), answerDelayMs)
      }
    })
  }

  #answer (request, response, body) {
    const url = new URL(request.url, 'http://store')
    const [, , call, id] = url.pathname.split('/')
    if (call === 'kv-watch') {
      this.#watch(url, response)
      return
    }
    const [status, message] = this.#run(call, Number(id), url, body)
    send(response, status, message)
  }

  #run (call, id, url, body) {
    switch (call) {
      case 'kv-key': {
        const item = this.items.get(url.searchParams.get('key'))
        return item === undefined ? [404, {}] : [200, { ...item, as_of: this.revision }]
      }
      case 'kv-range': {
        const prefix = url.searchParams.get('prefix') ?? ''
        const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix))
        return [200, { items, more_pages: false, as_of: this.revision }]
      }
      case 'kv-lease': {
        const ttlMs = JSON.parse(body).ttl_ms
        const lease = this.#nextLease
        this.#nextLease += 1
        this.leases.set(lease, { ttlMs, endsMs: performance.now() + ttlMs })
        return [200, { lease, ttl_ms: ttlMs }]
      }
      case 'kv-keep': {
        const lease = this.leases.get(id)
        if (lease === undefined) {
          return [404, {}]
        }
        lease.endsMs = performance.now() + lease.ttlMs
        return [200, { ttl_ms: lease.ttlMs }]
      }
      case 'kv-lease-end':
        this.#endLease(id)
        return [200, {}]
      case 'kv-txn':
        return this.#commit(JSON.parse(body))
      default:
        return [404, {}]
    }
  }

  #commit ({ expected = [], puts = [], remove = [] }) {
    for (const { key, rev } of expected) {
      if ((this.items.get(key)?.rev ?? 0) !== rev) {
        return [412, { items: expected.map(row => this.items.get(row.key)).filter(item => item !== undefined) }]
      }
    }
    if (puts.some(({ lease }) => lease !== undefined && lease !== 0 && !this.leases.has(lease))) {
      return [404, {}]
    }
    if ([...puts.map(({ key }) => key), ...remove].some(key => /^(op|servers)\//.test(key))) {
      return [403, {}]
    }
    for (const { key, value, lease } of puts) {
      this.#put(key, value, lease ?? 0)
    }
    for (const key of remove) {
      this.#delete(key)
    }
    this.#wake()
    return [200, { rev: this.revision }]
  }

  #watch (url, response) {
    const watch = { response, prefix: url.searchParams.get('prefix') ?? '', after: Number(url.searchParams.get('after')) }
    this.#watches.add(watch)
    watch.timer = setTimeout(() => this.#finish(watch, []), Number(url.searchParams.get('wait_ms')))
    response.on('close', () => {
      clearTimeout(watch.timer)
      this.#watches.delete(watch)
    })
    this.#wake()
  }

  #wake () {
    if (this.isDown) {
      return
    }
    for (const watch of this.#watches) {
      const events = this.history.filter(({ key, rev }) => rev > watch.after && key.startsWith(watch.prefix))
      if (events.length > 0) {
        this.#finish(watch, events)
      }
    }
  }

  #finish (watch, events) {
    clearTimeout(watch.timer)
    this.#watches.delete(watch)
    if (!this.isDown) {
      send(watch.response, 200, { events, as_of: this.revision })
    }
  }
}

function send (response, status, message) {
  const text = JSON.stringify(message)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
}
