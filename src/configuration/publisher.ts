/**
 * Distributes accepted changes: pushes them immediately over the open links and sessions, and after a short random
 * delay calls the agents that this entry is responsible for, which then read the changes they lack.
 */
import * as changeLogs from './change_log.js'
import * as configuration from '../contracts/configuration.js'
import * as documents from './document.js'
import * as agentAssignments from './agent_assignment.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as links from '../links/types.js'
import * as peersModule from './peers.js'

/** Bounds of the random delay before each round of calls to the agents, in milliseconds. */
const minimumRoundDelayMs = 300
const maximumRoundDelayMs = 1_500

/** Time-out of a call to an agent, in milliseconds. */
const answerTimeoutMs = 1_000

/** Maximum number of rounds after a change. Agents that do not have the version are called again in the next round. */
const maximumRounds = 4

export class Publisher {
  private readonly sessions = new Set<links.Session>()
  private roundsLeft = 0
  private isRunning = false
  private stopTimer: host.Stop | undefined

  constructor (
    private readonly document: documents.Document,
    private readonly peers: peersModule.Peers,
    private readonly ownAddress: identities.Address,
    private readonly clock: host.Clock,
    private readonly random: host.Random
  ) {}

  openSession (session: links.Session): void {
    this.sessions.add(session)
  }

  closeSession (session: links.Session): void {
    this.sessions.delete(session)
  }

  /** Sends a change to every process with an open connection. */
  send (change: configuration.Change): void {
    for (const link of this.peers.listOpenLinks()) {
      this.notify(link, change)
    }
    for (const session of this.sessions) {
      if (session.isOpen) {
        this.notify(session, change)
      }
    }
  }

  /** Schedules rounds of calls that inform the agents of the current version. */
  schedule (): void {
    this.roundsLeft = maximumRounds
    if (!this.isRunning) {
      this.isRunning = true
      this.startTimer()
    }
  }

  stop (): void {
    this.roundsLeft = 0
    this.stopTimer?.()
  }

  private startTimer (): void {
    const delayMs = minimumRoundDelayMs + this.random.nextUnit() * (maximumRoundDelayMs - minimumRoundDelayMs)
    this.stopTimer = this.clock.after(delayMs, () => {
      this.runRound().catch(() => {})
    })
  }

  private async runRound (): Promise<void> {
    this.roundsLeft -= 1
    const { version } = this.document
    const areAllCurrent = await this.callAgents()
    if (this.roundsLeft > 0 && (!areAllCurrent || this.document.version !== version)) {
      this.startTimer()
      return
    }
    this.isRunning = false
  }

  private async callAgents (): Promise<boolean> {
    const entries = this.peers.listEntries()
    const calls: Promise<boolean>[] = []
    for (const server of this.document.listServers().values()) {
      if (agentAssignments.isResponsible(this.ownAddress, entries, server.agent)) {
        calls.push(this.callAgent(server.agent))
      }
    }
    const results = await Promise.all(calls)
    return results.every(isCurrent => isCurrent)
  }

  /** Any call carries the version of this entry; the answer shows whether the agent has it. */
  private async callAgent (agent: identities.Address): Promise<boolean> {
    const answer = await this.peers.getLinkTo(agent).call('status.read', {}, answerTimeoutMs)
    return answer.map(({ configurationVersion }) => configurationVersion >= this.document.version).orDefault(false)
  }

  private notify (to: links.Link | links.Session, change: configuration.Change): void {
    if (to.remote !== undefined) {
      to.notify('configuration.changed', { change: changeLogs.redactChange(change, to.remote.role) })
    }
  }
}
