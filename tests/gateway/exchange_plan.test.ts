import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as exchangePlans from '../../src/gateway/exchange_plan.js'

type View = { -readonly [Name in keyof exchangePlans.Partner]: exchangePlans.Partner[Name] }

const stepMs = 20

/** Gateways that exchange by their plans, without a network. */
class Fleet {
  readonly nodes: { readonly name: string, readonly zone: string, readonly plan: exchangePlans.ExchangePlan, readonly views: Map<string, View> }[] = []
  readonly dead = new Set<string>()
  exchanges = 0
  betweenZones = 0
  nowMs = 0

  constructor (zones: number, perZone: number) {
    for (let index = 0; index < zones * perZone; index += 1) {
      const zone = `zone-${index % zones}`
      const name = `g${String(index).padStart(2, '0')}`
      this.nodes.push({ name, zone, plan: new exchangePlans.ExchangePlan(name, zone), views: new Map() })
    }
    for (const node of this.nodes) {
      for (const other of this.nodes) {
        if (other !== node) {
          node.views.set(other.name, {
            node: other.name, zone: other.zone, heardMs: -Infinity, learnedMs: -Infinity, exchangedMs: -Infinity, toldMs: -Infinity, teller: 'itself'
          })
        }
      }
      node.plan.setPartners([...node.views.values()])
    }
  }

  play (forMs: number): void {
    for (const untilMs = this.nowMs + forMs; this.nowMs < untilMs; this.nowMs += stepMs) {
      for (const node of this.nodes) {
        for (const view of node.views.values()) {
          if (!this.dead.has(node.name) && node.plan.isDue(view, this.nowMs)) {
            this.exchange(node.name, view.node)
          }
        }
      }
    }
  }

  /** Age of the oldest news that a living gateway has of another one, in milliseconds. */
  getOldest (): number {
    let oldest = 0
    for (const node of this.nodes) {
      for (const view of node.views.values()) {
        if (!this.dead.has(node.name) && !this.dead.has(view.node)) {
          oldest = Math.max(oldest, this.nowMs - view.heardMs)
        }
      }
    }
    return oldest
  }

  private exchange (from: string, to: string): void {
    this.getView(from, to).exchangedMs = this.nowMs
    this.exchanges += 1
    this.betweenZones += this.getView(from, to).zone === this.getView(to, from).zone ? 0 : 1
    if (!this.dead.has(to)) {
      this.tell(from, to)
      this.tell(to, from)
    }
  }

  private tell (from: string, to: string): void {
    const sender = this.nodes.find(node => node.name === from)
    const receiver = this.getView(from, to)
    for (const view of sender?.views.values() ?? []) {
      if (sender?.plan.isToRelay(view, receiver) === true && view.node !== to) {
        this.hear(to, view.node, view.heardMs, sender.zone === receiver.zone ? 'own_zone' : 'other_zone')
      }
    }
    receiver.toldMs = this.nowMs
    this.hear(to, from, this.nowMs, 'itself')
    this.getView(to, from).exchangedMs = this.nowMs
  }

  private hear (at: string, of: string, heardMs: number, teller: exchangePlans.Teller): void {
    const view = this.getView(at, of)
    if (heardMs > view.heardMs) {
      view.heardMs = heardMs
      view.learnedMs = this.nowMs
      view.teller = teller
    }
  }

  private getView (at: string, of: string): View {
    return this.nodes.find(node => node.name === at)?.views.get(of) as View
  }
}

test.describe('Gateways of several zones', () => {
  test.it('all know each other\'s state within the time of silence, with one relay for each zone', () => {
    const fleet = new Fleet(3, 10)
    fleet.play(3_000)
    fleet.betweenZones = 0
    const silenceMs = fleet.nodes[0]?.plan.silenceMs ?? 0
    for (let round = 0; round < 50; round += 1) {
      fleet.play(100)
      assert.ok(fleet.getOldest() < silenceMs, `${fleet.getOldest()} ms at ${fleet.nowMs}`)
    }
    // Three pairs of relays; each of 300 pairs without them.
    const pairs = fleet.betweenZones / 5 / (1_000 / (fleet.nodes[0]?.plan.periodMs ?? 0))
    assert.ok(pairs < 10, `${pairs} pairs exchange between zones`)
  })

  test.it('take another relay when one dies, before anybody counts as silent', () => {
    const fleet = new Fleet(3, 10)
    fleet.play(3_000)
    fleet.dead.add('g00')
    const silenceMs = fleet.nodes[0]?.plan.silenceMs ?? 0
    for (let round = 0; round < 50; round += 1) {
      fleet.play(100)
      assert.ok(fleet.getOldest() < silenceMs, `${fleet.getOldest()} ms at ${fleet.nowMs}`)
    }
  })

  test.it('do not take for news what a relay tells that was suspended, or of an earlier life', () => {
    const plan = new exchangePlans.ExchangePlan('self', 'a')
    const partner: exchangePlans.Partner = {
      node: 'g1', zone: 'b', heardMs: 10_000, learnedMs: 10_000, exchangedMs: 10_000, toldMs: 0, teller: 'itself'
    }
    const last = { boot: 'second', sequence: 50 }
    assert.equal(plan.isNews(partner, last, { boot: 'second', sequence: 51 }, 10_050), true)
    assert.equal(plan.isNews(partner, last, { boot: 'second', sequence: 3 }, 10_050), false)
    assert.equal(plan.isNews(partner, last, { boot: 'first', sequence: 900 }, 10_050), false)
    assert.equal(plan.isNews(partner, last, { boot: 'third', sequence: 1 }, 10_000 + plan.silenceMs), true)
  })

  test.it('reckon with the same period in zones of different sizes', () => {
    const partner = { heardMs: 0, learnedMs: 0, exchangedMs: 0, toldMs: 0, teller: 'itself' } as const
    const large = new exchangePlans.ExchangePlan('a0', 'a')
    large.setPartners([...Array.from({ length: 11 }, (_, index) => ({ ...partner, node: `a${index + 1}`, zone: 'a' })), { ...partner, node: 'b0', zone: 'b' }])
    const small = new exchangePlans.ExchangePlan('b0', 'b')
    small.setPartners(Array.from({ length: 12 }, (_, index) => ({ ...partner, node: `a${index}`, zone: 'a' })))
    assert.equal(large.periodMs, small.periodMs)
  })

  test.it('exchange ten times a second where there are few', () => {
    const fleet = new Fleet(3, 1)
    fleet.play(1_000)
    assert.ok(fleet.getOldest() <= 120, `${fleet.getOldest()} ms`)
    assert.ok(fleet.exchanges >= 3 * 8, `${fleet.exchanges} exchanges`)
  })
})
