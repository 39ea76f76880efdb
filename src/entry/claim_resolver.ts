/**
 * Resolves the outcome of a claimed call with the agent that was to run it, when the entry that made the claim has
 * not settled it in time.
 */
import * as cancels from './cancels.js'
import * as claimRules from './claim_rules.js'
import * as claimStores from './claim_store.js'
import * as failures from '../contracts/failure.js'
import * as links from '../links/types.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

/** `Retry-After` of a call whose agent is unreachable, in milliseconds. */
const unreachableRetryMs = 5000

export class ClaimResolver {
  constructor (
    private readonly context: types.EntryContext,
    private readonly claims: claimStores.ClaimStore
  ) {}

  /** Decides by the agent's answer. A claim is taken over only if its call has not run and never will. */
  async resolve (held: claimStores.StoredClaim): Promise<claimRules.Decision> {
    const server = this.context.configuration.getServer(held.claim.server)
    if (server === undefined) {
      return claimRules.refuseUnknown('may_have_run')
    }
    const link = this.context.links.get(server.agent)
    const { request, attempt, boot } = held.claim
    const cancel: work.Cancel = { request, attempt, boot, mode: 'unless_started' }
    const answer = await link.call('work.cancel', cancel, this.context.timing.callTimeoutMs)
    if (answer.isLeft()) {
      return claimRules.refuseUnknown('may_have_run', unreachableRetryMs)
    }
    return await this.decideByAnswer(held, link, answer.extract() as work.CancelAnswer)
  }

  private async decideByAnswer (
    held: claimStores.StoredClaim, link: links.Link, answer: work.CancelAnswer
  ): Promise<claimRules.Decision> {
    if (answer.verdict === 'not_run') {
      return { kind: 'take_over' }
    }
    if (answer.state === 'running' || answer.state === 'queued') {
      return claimRules.refuseRunning(0)
    }
    return answer.state === 'finished' ? await this.fetchAnswer(held, link) : claimRules.refuseUnknown('may_have_run')
  }

  private async fetchAnswer (held: claimStores.StoredClaim, link: links.Link): Promise<claimRules.Decision> {
    const { request, attempt, boot } = held.claim
    const resume = { request, attempt, boot, offset: 0 }
    const answer = await link.call('work.resume', resume, this.context.timing.callTimeoutMs)
    const last = answer.caseOf({ Left: () => undefined, Right: ({ frames }) => frames.at(-1) })
    if (last?.kind !== 'finished' || last.answer === undefined) {
      return isNotRun(last) ? { kind: 'take_over' } : claimRules.refuseUnknown('may_have_run')
    }
    const acknowledge = (): void => cancels.acknowledgeAll(link, { request, attempt })
    this.claims.settle(held, claimRules.recordAnswer(held.claim, last.answer), acknowledge)
    return { kind: 'replay', answer: last.answer }
  }
}

function isNotRun (frame: work.Frame | undefined): boolean {
  const failure: failures.Failure | undefined = frame?.kind === 'failed' ? frame.failure : undefined
  return failure?.verdict === 'not_run'
}
