/**
 * Stand-in of the platform's metadata store: keys, leases, watches and transactions over HTTP, without faults.
 */
import * as http from 'node:http'

const firstRevision = 10

export class Store {
  revision = firstRevision
  items = new Map()
  leases = new Map()
  events = []
  address = ''
  #lastLease = 100
  #watchers = new Set()
  #server = http.createServer((request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => this.#answer(request, response, Buffer.concat(chunks).toString()))
  })

  start () {
    return new Promise(resolve => {
      this.#server.listen(0, '127.0.0.1', () => {
        this.address = `127.0.0.1:${this.#server.address().port}`
        resolve()
      })
    })
  }

  close () {
    for (const { timer } of this.leases.values()) {
      clearTimeout(timer)
    }
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Writes a document as the operator or a server does. */
  put (key, value, lease = 0) {
    this.#commit([{ key, text: typeof value === 'string' ? value : JSON.stringify(value), lease }], [])
  }

  remove (key) {
    this.#commit([], [key])
  }

  #commit (puts, removed) {
    this.revision += 1
    const news = []
    for (const { key, text, lease } of puts) {
      const before = this.items.get(key)
      const item = { key, value: Buffer.from(text).toString('base64'), rev: this.revision, create_rev: before?.create_rev ?? this.revision, lease }
      this.items.set(key, item)
      news.push(item)
    }
    for (const key of removed) {
      if (this.items.delete(key)) {
        news.push({ key, rev: this.revision, tombstone: true })
      }
    }
    this.events.push(...news)
    for (const wake of [...this.#watchers]) {
      wake()
    }
  }

  #answer (request, response, body) {
    const url = new URL(request.url, 'http://store')
    const [, , call, id] = url.pathname.split('/')
    const message = body === '' ? {} : JSON.parse(body)
    switch (call) {
      case 'kv-key': {
        const item = this.items.get(url.searchParams.get('key'))
        return send(response, item === undefined ? 404 : 200, { ...item, as_of: this.revision })
      }
      case 'kv-range': {
        const prefix = url.searchParams.get('prefix') ?? ''
        const after = url.searchParams.get('after') ?? ''
        const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
        items.sort((a, b) => a.key < b.key ? -1 : 1)
        return send(response, 200, { items, more_pages: false, as_of: this.revision })
      }
      case 'kv-watch':
        return this.#watch(url, response)
      case 'kv-lease':
        return this.#grant(response, message.ttl_ms)
      case 'kv-keep':
        return this.#renew(response, Number(id))
      case 'kv-lease-end':
        this.#endLease(Number(id))
        return send(response, 200, {})
      case 'kv-txn':
        return this.#transact(response, message)
      default:
        return send(response, 404, {})
    }
  }

  #watch (url, response) {
    const prefix = url.searchParams.get('prefix') ?? ''
    const after = Number(url.searchParams.get('after'))
    const listNews = () => this.events.filter(({ key, rev }) => rev > after && key.startsWith(prefix))
    const finish = () => {
      clearTimeout(timer)
      this.#watchers.delete(wake)
      send(response, 200, { events: listNews(), as_of: this.revision })
    }
    const wake = () => {
      if (listNews().length > 0) {
        finish()
      }
    }
    const timer = setTimeout(finish, Number(url.searchParams.get('wait_ms')))
    response.on('close', () => {
      clearTimeout(timer)
      this.#watchers.delete(wake)
    })
    this.#watchers.add(wake)
    wake()
  }

  #grant (response, ttlMs) {
    this.#lastLease += 1
    const lease = this.#lastLease
    this.leases.set(lease, { ttlMs, timer: setTimeout(() => this.#endLease(lease), ttlMs) })
    send(response, 200, { lease, ttl_ms: ttlMs })
  }

  #renew (response, lease) {
    const found = this.leases.get(lease)
    if (found === undefined) {
      return send(response, 404, {})
    }
    found.timer.refresh()
    send(response, 200, { ttl_ms: found.ttlMs })
  }

  #endLease (lease) {
    clearTimeout(this.leases.get(lease)?.timer)
    if (this.leases.delete(lease)) {
      const keys = [...this.items.values()].filter(item => item.lease === lease).map(({ key }) => key)
      if (keys.length > 0) {
        this.#commit([], keys)
      }
    }
  }

  #transact (response, { expected = [], puts = [], remove = [] }) {
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
      return send(response, 404, {})
    }
    if (expected.some(({ key, rev }) => (this.items.get(key)?.rev ?? 0) !== rev)) {
      return send(response, 412, { items: expected.map(({ key }) => this.items.get(key) ?? {}) })
    }
    this.#commit(puts.map(({ key, value, lease = 0 }) => ({ key, text: Buffer.from(value, 'base64').toString(), lease })), remove)
    send(response, 200, { rev: this.revision })
  }
}

function send (response, status, message) {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(message))
}
