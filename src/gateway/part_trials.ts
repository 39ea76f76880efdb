/**
 * Trials of suspected parts: of all requests of all gateways with such a part, one at a time is sent to a server.
 *
 * One gateway grants the trials of a part. A trial that is not reported as finished ends with its lease.
 */
import * as evidences from './crash_evidence.js'
import * as host from '../host/types.js'
import * as issuerChoices from './issuer_choice.js'
import * as messages from './peer_messages.js'

/** Time after which a granted trial no longer excludes others, in milliseconds: longer than any wait for the first event. */
const trialLeaseMs = 4_000
/** Number of gateways that are asked in turn while they do not answer. */
const maximumGranters = 3
/** Limit on the trials that are granted at the same time. */
const maximumTrials = 1_024

/** Asks another gateway for a trial, or reports its end; rejects if there is no answer in time. */
export abstract class TrialChannel {
  abstract askTrial (node: string, order: messages.TrialOrder): Promise<messages.TrialGrant>
}

/** A trial in progress. */
export interface Trial {
  readonly id: string
  readonly parts: readonly string[]
  /** The gateway that granted it. */
  readonly granter: string
}

interface Lease {
  /** Gateway and trial. */
  readonly holder: string
  readonly untilMs: number
}

export class PartTrials {
  /** Leases that this gateway granted, by part. */
  private readonly leases = new Map<string, Lease>()

  constructor (
    private readonly node: string,
    private readonly evidence: evidences.CrashEvidence,
    private readonly choice: issuerChoices.IssuerChoice,
    private readonly channel: TrialChannel,
    private readonly system: host.System
  ) {}

  /** Takes the trial of the parts; undefined if another request is being tried. */
  async take (parts: readonly string[]): Promise<Trial | undefined> {
    const sorted = [...parts].sort()
    const id = this.system.random.nextId()
    const order = this.createOrder(id, sorted, false)
    for (const granter of this.choice.listResponsive(sorted[0] ?? '').slice(0, maximumGranters)) {
      const grant = granter === this.node ? this.decide(order) : await this.ask(granter, order)
      if (grant !== undefined) {
        return grant.isGranted ? { id, parts: sorted, granter } : undefined
      }
    }
    return this.decide(order).isGranted ? { id, parts: sorted, granter: this.node } : undefined
  }

  finish ({ id, parts, granter }: Trial): void {
    const order = this.createOrder(id, parts, true)
    if (granter === this.node) {
      this.decide(order)
    } else {
      this.channel.askTrial(granter, order).catch((error: unknown) => {
        this.system.log.info('end of a trial not reported', { granter, parts: parts.join(','), reason: String(error) })
      })
    }
  }

  /** Decides on an order of a gateway, this one included. */
  decide ({ node, parts, trial, isFinished, evidence }: messages.TrialOrder): messages.TrialGrant {
    const nowMs = this.now()
    if (node !== this.node) {
      this.evidence.merge(evidence, node, nowMs, nowMs)
    }
    const holder = `${node} ${trial}`
    for (const [part, lease] of this.leases) {
      if (lease.untilMs <= nowMs || (isFinished && lease.holder === holder)) {
        this.leases.delete(part)
      }
    }
    const isGranted = !isFinished && this.leases.size + parts.length <= maximumTrials && !parts.some(part => this.leases.has(part))
    for (const part of isGranted ? parts : []) {
      this.leases.set(part, { holder, untilMs: nowMs + trialLeaseMs })
    }
    return { isGranted, evidence: node === this.node ? {} : this.evidence.describe(parts, nowMs) }
  }

  private createOrder (trial: string, parts: readonly string[], isFinished: boolean): messages.TrialOrder {
    return { node: this.node, parts: [...parts], trial, isFinished, evidence: this.evidence.describe(parts, this.now()) }
  }

  private now (): number {
    return this.system.clock.monotonicMs()
  }

  /** Returns undefined if the gateway does not answer. */
  private async ask (granter: string, order: messages.TrialOrder): Promise<messages.TrialGrant | undefined> {
    try {
      const grant = await this.channel.askTrial(granter, order)
      this.evidence.merge(grant.evidence, granter, this.now(), this.now())
      return grant
    } catch (error) {
      this.system.log.info('trial not answered', { granter, parts: order.parts.join(','), reason: String(error) })
      return undefined
    }
  }
}
