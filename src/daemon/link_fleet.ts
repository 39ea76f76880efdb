/**
 * Status and time line of all processes, asked over the links.
 */
import * as administration from '../administration/fleet.js'
import * as allowances from '../allowances/types.js'
import * as documents from '../configuration/document.js'
import * as events from '../contracts/events.js'
import * as identities from '../contracts/identity.js'
import * as merge from '../timeline/merge.js'
import * as processBases from './process_base.js'

/** Longest wait for one process, in milliseconds. */
const askTimeoutMs = 2000

/** Processes asked at the same time. */
const askWidth = 32

export class LinkFleet extends administration.Fleet {
  constructor (
    private readonly base: processBases.ProcessBase,
    private readonly source: processBases.StatusSource,
    private readonly entries: allowances.Entries,
    private readonly configuration: documents.ConfigurationView
  ) {
    super()
  }

  override async readStatus (): Promise<readonly administration.Status[]> {
    const answers = await this.askAll(async address => {
      const result = await this.base.links.get(address).call('status.read', {}, askTimeoutMs)
      return result.toMaybe().extract()
    })
    return [this.base.getStatus(this.source), ...answers]
  }

  override async readTimeline (request: string | undefined, limit: number): Promise<readonly events.Event[]> {
    const query = request === undefined ? { limit } : { request, limit }
    const answers = await this.askAll(async address => {
      const result = await this.base.links.get(address).call('timeline.read', query, askTimeoutMs)
      return result.toMaybe().extract()?.events
    })
    return merge.mergeEvents([this.base.readTimeline(request, limit), ...answers])
  }

  /** Asks every other process and returns the answers that came. */
  private async askAll<Answer> (
    ask: (address: identities.Address) => Promise<Answer | undefined>
  ): Promise<Answer[]> {
    const waiting = this.listAddresses()
    const answers: Answer[] = []
    const work = async (): Promise<void> => {
      for (let address = waiting.pop(); address !== undefined; address = waiting.pop()) {
        const answer = await ask(address)
        if (answer !== undefined) {
          answers.push(answer)
        }
      }
    }
    await Promise.all(Array.from({ length: askWidth }, work))
    return answers
  }

  private listAddresses (): identities.Address[] {
    const addresses = new Map<string, identities.Address>()
    for (const entry of this.entries.list()) {
      if (entry.node !== this.base.identity.node) {
        addresses.set(identities.formatAddress(entry.address), entry.address)
      }
    }
    for (const server of this.configuration.listServers().values()) {
      addresses.set(identities.formatAddress(server.agent), server.agent)
    }
    return [...addresses.values()]
  }
}
