/**
 * A gateway: the process between callers and backend servers that have no agent.
 */
import * as http from 'node:http'
import * as allowedRegions from './availability/allowed_regions.js'
import * as coldLimits from './availability/cold_limit.js'
import * as coldServers from './availability/cold_servers.js'
import * as allowances from './allowance_limiter.js'
import type * as deliveries from './answer_delivery.js'
import * as peerTables from './peer_table.js'
import * as choices from './plain/server_choice.js'
import * as accountChecks from './caller_memory/account_check.js'
import * as callerAccounts from './caller_memory/account.js'
import * as callerBounds from './caller_memory/bounds.js'
import * as chunkTurns from './caller_memory/chunk_turns.js'
import type * as bodyIntakes from './caller_memory/body_intake.js'
import * as connectionPools from './connection_pool.js'
import * as contexts from './context.js'
import * as blockedParts from './blocked_parts.js'
import * as callerConnections from './caller_connection.js'
import * as crashEvidences from './crash_evidence.js'
import * as directories from './directory.js'
import * as eventLoop from '../host/event_loop.js'
import * as stageCoordinators from './stage_coordinator.js'
import * as fleets from './engine_fleet.js'
import * as explainers from './explanation/explainer.js'
import * as explanationListeners from './explanation/explanation_listener.js'
import * as guards from './prompt_guard.js'
import * as handlers from './request_handler.js'
import * as headrooms from './urgency/memory_headroom.js'
import * as garbage from '../host/garbage_collector.js'
import * as healths from './server_health.js'
import * as host from '../host/types.js'
import * as httpListeners from '../daemon/http_listener.js'
import * as ingresses from './ingress.js'
import * as issuerChoices from './issuer_choice.js'
import * as members from './members.js'
import * as meters from '../metrics/prometheus_meter.js'
import * as messages from './peer_messages.js'
import * as replicas from './store_replica.js'
import * as peerExchanges from './peer_exchange.js'
import * as paceActivations from './pace/pace_activation.js'
import * as paces from './pace/server_pace.js'
import * as partTrials from './part_trials.js'
import * as permits from './permits.js'
import * as outputs from './output_estimate.js'
import * as retries from './retry_budget.js'
import * as returnSchedules from './queueing/return_schedule.js'
import * as capacityQueues from './queueing/capacity_queue.js'
import * as queueings from './queueing/queueing.js'
import type * as waitingDemands from './queueing/waiting_demand.js'
import * as routing from '../contracts/routing.js'
import * as routingFollowers from './routing_follower.js'
import * as serverLimits from './server_limits.js'
import * as serverLoads from './plain/server_loads.js'
import * as settings from './settings.js'
import * as stallMonitors from './stall_monitor.js'
import * as types from './types.js'

/** Prefix of all keys in the store. One watch covers them all, because calls to the store are limited in number and billed. */
const allKeysPrefix = ''
/** How often the queue of generations is checked, in addition to the checks when capacity becomes free. */
const queueCheckPeriodMs = 20
const gaugePeriodMs = 1_000
/** How often what callers hold is checked. */
const memoryCheckPeriodMs = 100
/** How often credit for retries is issued, in milliseconds. */
const creditPeriodMs = 250
/** Tolerance for cold servers where the settings state none. */
const strictTolerance: coldLimits.ColdTolerance = { over: 1, slack: 0 }
/** How long a draining gateway accepts connections after it reports not ready: two failed probes and the balancer's reaction time. */
const balancerLagMs = 2_500
/** Time reserved for the exit at the end of the grace period. */
const exitMarginMs = 400
const drainPollMs = 50
/** Time before the exit at which the requests that are left get a final answer, for the answers to be sent. */
const finalAnswerMs = 200
/** Time for callers to close their sides of the connections that are left at the exit. */
const finalCloseMs = 200
/** Beginning of the names of zone aggregates. */
const zoneNamePrefix = 'zone '
/** How recently a gateway must have been seen to count in the `gateway_peers` gauge. */
const peerPresenceMs = 2_000

export class Gateway {
  private readonly context: contexts.GatewayContext
  private readonly meter = new meters.PrometheusMeter()
  private readonly handler: handlers.RequestHandler
  private readonly ingress: ingresses.Ingress
  private readonly callerMemory: callerAccounts.CallerMemory
  private readonly readiness: ingresses.ReadinessListener
  private readonly metricsServer: http.Server
  private readonly peerTable: peerTables.PeerTable
  private readonly peers: peerExchanges.PeerExchange
  private readonly members: members.Members
  private readonly issuers: issuerChoices.IssuerChoice
  private readonly stageCoordinator: stageCoordinators.StageCoordinator
  private readonly evidence: crashEvidences.CrashEvidence
  private readonly loads: serverLoads.ServerLoads
  private readonly storeReplica: replicas.StoreReplica
  private readonly cold: coldServers.ColdServers
  private readonly boot: string
  private readonly stalls: stallMonitors.StallMonitor
  private readonly stops: host.Stop[] = []
  private isDraining = false
  private isCheckingQueue = false
  private isExpediting = false
  private isIsolated = false
  /** Until when all requests are accepted, and when those accepted later must have ended. */
  private acceptsAllUntilMs = Infinity
  private lastEndMs = Infinity

  constructor (
    private readonly system: host.System,
    private readonly options: settings.GatewaySettings,
    store: host.Store,
    dialect: types.Dialect,
    documents: types.StoredDocuments
  ) {
    this.boot = system.random.nextId()
    this.stalls = new stallMonitors.StallMonitor(system.log)
    const activation = new paceActivations.PaceActivation(options.pace, [
      new paceActivations.ColdServices(() => this.context.routing.table)
    ], [
      new paceActivations.RankedServices(() => this.context.routing.table),
      new paceActivations.SlownessReports(service => this.loads.isActive(this.context.directory.listReady(service), system.clock.monotonicMs()))
    ])
    const pace = new paces.ServerPace(this.createKnownServers(), service => activation.isPaced(service), system.random, system.log, this.meter)
    const health = new healths.ServerHealth((id, untilMs, nowMs) => {
      const server = directory.find(id)
      if (server !== undefined) {
        pace.recordReturn(server, 'pause', untilMs, nowMs)
      }
    })
    const connectionLimits = callerBounds.createConnectionLimits(options.callers)
    this.callerMemory = new callerAccounts.CallerMemory(callerBounds.createAccountLimits(options.callers))
    const pool = new connectionPools.ConnectionPool(system.clock, dialect, this.createSendListener(),
      ({ service }) => this.context.routing.table?.getService(service)?.maximumConnections,
      server => this.context.directory.isEvacuated(server) ? 'the zone is evacuated' : undefined,
      { account: this.callerMemory, clock: system.clock, collect: () => this.collectPieces() })
    const { availability } = options
    this.cold = new coldServers.ColdServers(this.createColdProfiles(availability === undefined
      ? strictTolerance
      : { over: availability.coldOver, slack: availability.coldSlack }), system.log)
    const limits = new serverLimits.ServerLimits(system.log, this.cold)
    this.issuers = new issuerChoices.IssuerChoice(options, node => this.peerTable.isResponsive(node))
    const permitBook = new permits.Permits(options.node, limits, this.issuers, this.createPermitChannel(), system)
    this.evidence = new crashEvidences.CrashEvidence(system.log)
    const trials = new partTrials.PartTrials(options.node, this.evidence, this.issuers, this.createTrialChannel(), system)
    const guard = new guards.PromptGuard(this.evidence, trials, pool, dialect, system, this.meter, () => this.expediteGossip(),
      async server => !this.context.directory.isEvacuated(server) &&
        (!permitBook.isCold(server) || (await permitBook.take(server)).kind === 'granted'))
    const fleet = new fleets.EngineFleet(options.zone, health, system.random, pace)
    this.loads = new serverLoads.ServerLoads(system.log)
    const serverChoice = new choices.ServerChoice(options.zone, health, this.loads, system.random, system.log, pace)
    const directory = new directories.Directory(documents, system, server => {
      pool.closeIdle(server.address)
      health.forget(server.id)
      fleet.forgetServer(server.id)
      serverChoice.forget(server.id)
      limits.forget(server.id)
      permitBook.forget(server.id)
      this.cold.forget(server.id)
      pace.forget(server.id)
    }, (server, reason) => pace.recordReturn(server, reason, system.clock.monotonicMs()), this.cold)
    const queueing = new queueings.Queueing(system, this.meter)
    this.context = {
      system,
      settings: options,
      meter: this.meter,
      dialect,
      pool,
      health,
      limits,
      permits: permitBook,
      pace,
      guard,
      returns: new returnSchedules.ReturnSchedule(),
      directory,
      regions: new allowedRegions.RegionMap(availability?.regions ?? {}),
      serverChoice,
      loads: this.loads,
      fleet,
      headroom: new headrooms.MemoryHeadroom(),
      outputs: new outputs.OutputEstimate(),
      capacityQueue: new capacityQueues.CapacityQueue(() => this.startQueueChecks(), queueing.shares),
      queueing,
      allowance: new allowances.AllowanceLimiter(options.allowance,
        (workspace, units) => queueing.shares.recordTold(workspace, units, system.clock.monotonicMs())),
      retries: new retries.RetryBudget(options.retries, system.clock),
      routing: { table: undefined }
    }
    this.handler = new handlers.RequestHandler(this.context, () => !this.isDraining, endMs => this.mayBegin(endMs))
    this.ingress = new ingresses.Ingress(this.createRequestListener(), system.clock, system.log, this.createIntakeOptions(), connectionLimits.callers)
    this.readiness = new ingresses.ReadinessListener(dialect.readinessPath, () => this.isReady, connectionLimits.probes)
    const explainer = options.explain === 'on' ? new explainers.Explainer(this.context, this.createView()) : undefined
    this.metricsServer = http.createServer((request, response) => {
      if (explanationListeners.isExplanation(request)) {
        explanationListeners.answerExplanation(request, response, explainer, system.log)
        return
      }
      response.setHeaders(new Map(Object.entries(httpListeners.closeBehindBody(request))))
      this.meter.render().then(text => response.end(text), (error: unknown) => {
        system.log.warn('metrics not rendered', { reason: String(error) })
        response.destroy()
      })
    })
    const follower = new routingFollowers.RoutingFollower(documents, system, table => {
      this.context.routing.table = table
      this.ingress.setLimits(table.document.limits)
      this.context.retries.setServices(table.document.services.map(({ name }) => name))
      this.context.allowance.setWorkspaces(table.document.workspaces ?? [], system.clock.monotonicMs())
      queueing.setTable(table)
    })
    this.stageCoordinator = new stageCoordinators.StageCoordinator(this.context, store, service => fleet.getOffered(service, system.clock.monotonicMs()))
    this.members = new members.Members(store, system, options, this.boot,
      (node, withinMs) => this.peerTable.listSeen(withinMs).includes(node), found => this.setMembers(found))
    const blocked = new blockedParts.BlockedParts(store, system, this.evidence)
    this.evidence.onBlock = part => blocked.save(part)
    const observer = new replicas.CompositeObserver([follower, directory, this.members, this.stageCoordinator, blocked], system.log)
    this.storeReplica = new replicas.StoreReplica(store, allKeysPrefix, system, observer, options.timing.watchHoldMs)
    this.peerTable = new peerTables.PeerTable(this.createParty(), system.clock, system.log)
    this.peers = new peerExchanges.PeerExchange(this.peerTable, options.zone, this.storeReplica, system, order => permitBook.decide(order), order => trials.decide(order), connectionLimits.peers)
  }

  private get isReady (): boolean {
    return !this.isDraining && this.context.routing.table !== undefined && this.storeReplica.isLoaded
  }

  /** Opens the listeners. Rejects if an address cannot be bound. */
  async start (): Promise<void> {
    const { options, system } = this
    await this.readiness.start(options.readiness)
    await this.peers.start(options.peers)
    if (options.metrics !== undefined) {
      await httpListeners.listen(this.metricsServer, options.metrics, callerBounds.createConnectionLimits(options.callers).probes)
    }
    // Last, so that no caller is accepted by a process that cannot start.
    await this.ingress.start(options.ingress)
    this.storeReplica.start()
    this.members.start()
    this.stageCoordinator.start()
    this.stops.push(system.clock.every(memoryCheckPeriodMs, () => this.checkCallerMemory()))
    this.stops.push(system.clock.every(gaugePeriodMs, () => this.setGauges()))
    this.stops.push(system.clock.every(creditPeriodMs, () => {
      this.stalls.tick(system.clock.monotonicMs(), creditPeriodMs)
      this.context.retries.accrue(this.getShare())
    }))
    for (const seed of options.seeds) {
      this.peers.copyFrom(seed).catch((error: unknown) => {
        system.log.info('store snapshot not fetched from seed', { seed, reason: String(error) })
      })
    }
    const { faults = [], region, regions = {} } = options.availability ?? {}
    if (options.explain === 'on') {
      system.log.info('explanations are answered', { host: options.metrics?.host, port: options.metrics?.port })
    }
    if (faults.length > 0) {
      system.log.warn('settings ignored', { faults: faults.join('; ') })
    }
    for (const fault of options.callers.faults ?? []) {
      system.log.warn('setting ignored', { fault })
    }
    if (Object.keys(regions).length > 0) {
      system.log.info('zones and regions', { region, zones: Object.entries(regions).map(pair => pair.join('=')).join(',') })
    }
    system.log.info('started', { largeBytes: this.callerMemory.limits.largeBytes, maximumConnections: callerBounds.createConnectionLimits(options.callers).callers, boot: this.boot, zone: options.zone, ingress: options.ingress.port })
  }

  /** Drains: reports not ready, waits until the balancer has noticed, then finishes the requests in flight within the grace period. */
  async drain (): Promise<void> {
    const { clock, log } = this.system
    const startedMs = clock.monotonicMs()
    this.isDraining = true
    const endMs = startedMs + this.options.timing.graceMs - exitMarginMs
    this.acceptsAllUntilMs = startedMs + balancerLagMs
    this.lastEndMs = endMs - finalAnswerMs
    log.info('stopping', { inFlight: this.handler.inFlight, connections: this.ingress.connections })
    const left = Promise.all([this.members.leave(), this.stageCoordinator.leave()])
    await clock.sleep(balancerLagMs)
    await eventLoop.readSockets()
    this.ingress.stopAccepting()
    await this.waitWhile(() => this.isBusy, this.lastEndMs)
    this.handler.endRemaining()
    await this.waitWhile(() => this.isBusy, endMs)
    const unanswered = this.ingress.busyConnections
    const closedMs = clock.monotonicMs()
    const { connections } = this.ingress
    this.ingress.closeConnections()
    await this.waitWhile(() => this.ingress.connections > unanswered, closedMs + finalCloseMs)
    this.ingress.abandonAnswers()
    log.info('stopped', {
      inFlight: this.handler.inFlight, unanswered, closed: connections, open: this.ingress.connections, elapsedMs: Math.round(clock.monotonicMs() - startedMs)
    })
    await Promise.race([left, clock.sleep(drainPollMs)])
  }

  /** Whether a caller still waits for an answer, or for the rest of one. */
  private get isBusy (): boolean {
    return this.handler.inFlight > 0 || this.ingress.busyConnections > 0
  }

  /** Waits while the condition holds, until a time on the monotonic clock, and until what has come by then has been read. */
  private async waitWhile (condition: () => boolean, untilMs: number): Promise<void> {
    const { clock } = this.system
    await eventLoop.readSockets()
    while (condition() && clock.monotonicMs() < untilMs) {
      await clock.sleep(drainPollMs)
      await eventLoop.readSockets()
    }
  }

  /** Tells whether a request that has an answer or no time left at `endMs` can be served before this process ends. */
  private mayBegin (endMs: number): boolean {
    return this.system.clock.monotonicMs() < this.acceptsAllUntilMs || endMs <= this.lastEndMs
  }

  private createView (): explainers.GatewayView {
    const gateway = this
    return new class extends explainers.GatewayView {
      override getStoreAgeMs (): number {
        return gateway.storeReplica.getAgeMs(gateway.system.clock.monotonicMs())
      }

      override countGateways (): { readonly other: number, readonly heard: number } {
        return { other: gateway.context.queueing.otherGateways, heard: gateway.peerTable.listSeen(peerPresenceMs).length }
      }

      override mayBegin (endMs: number): boolean {
        return gateway.mayBegin(endMs)
      }
    }()
  }

  /** Closes everything at once. */
  async close (): Promise<void> {
    for (const stop of this.stops) {
      stop()
    }
    this.storeReplica.stop()
    await Promise.all([this.members.leave(), this.stageCoordinator.leave()])
    this.ingress.close()
    this.readiness.close()
    this.metricsServer.close()
    this.context.pool.close()
    await this.peers.close()
  }

  private createRequestListener (): callerConnections.RequestListener {
    const gateway = this
    return new class extends callerConnections.RequestListener {
      override received (request: http.IncomingMessage, response: http.ServerResponse, delivery: deliveries.AnswerDelivery, body: bodyIntakes.BodyIntake): void {
        gateway.handler.handle(request, response, delivery, body).catch((error: unknown) => {
          gateway.system.log.error('request not handled', { error: String(error) })
          response.destroy()
        })
      }

      override dropped (request: http.IncomingMessage, reason: callerConnections.DropReason, ageMs: number): void {
        gateway.handler.recordDropped(request, reason, ageMs)
      }
    }()
  }

  private createIntakeOptions (): bodyIntakes.IntakeOptions {
    const { options, system } = this
    return {
      clock: system.clock,
      account: this.callerMemory,
      stallMs: options.callers.bodyStallMs,
      turns: new chunkTurns.ChunkTurns(system.clock),
      collect: () => this.collectPieces(),
      ended: (_request, reason, bytes) => {
        this.meter.count('gateway_bodies_ended_total', { reason })
        system.log.info('body ended for lack of memory', { reason, bytes, ...this.callerMemory.describe() })
      }
    }
  }

  /**
   * Collects the pieces that bodies came in, at once: one turn of the event loop reads up to 2 MB of each socket, and nothing of it would be
   * collected before the end of the turn.
   */
  private collectPieces (): void {
    this.meter.count('gateway_collections_total', { kind: 'minor' })
    garbage.collectGarbage('minor')
  }

  private checkCallerMemory (): void {
    const kind = accountChecks.checkAccount(this.callerMemory, this.system.clock.monotonicMs())
    if (kind !== undefined) {
      this.meter.count('gateway_collections_total', { kind })
    }
  }

  private createSendListener (): connectionPools.SendListener {
    const gateway = this
    return new class extends connectionPools.SendListener {
      override sent (server: routing.RoutedServer): void {
        gateway.recordSend(server)
      }

      override answered (head: connectionPools.AnswerHead): void {
        gateway.recordAnswer(head)
      }

      override connectionFailed (server: routing.RoutedServer): void {
        gateway.cold.recordFailure(server, gateway.system.clock.monotonicMs())
      }
    }()
  }

  private createKnownServers (): paces.KnownServers {
    const gateway = this
    return new class extends paces.KnownServers {
      override find (id: string): routing.RoutedServer | undefined {
        return gateway.context.directory.find(id)
      }

      override listUsable (service: string, nowMs: number): readonly routing.RoutedServer[] {
        const { directory, health } = gateway.context
        return directory.listReady(service).filter(({ id }) => !health.isPaused(id, nowMs))
      }
    }()
  }

  private createPermitChannel (): permits.PermitChannel {
    const gateway = this
    return new class extends permits.PermitChannel {
      override ask (node: string, order: messages.PermitOrder): Promise<messages.PermitGrant> {
        return gateway.peers.ask(node, order)
      }
    }()
  }

  private createTrialChannel (): partTrials.TrialChannel {
    const gateway = this
    return new class extends partTrials.TrialChannel {
      override askTrial (node: string, order: messages.TrialOrder): Promise<messages.TrialGrant> {
        return gateway.peers.askTrial(node, order)
      }
    }()
  }

  /** Tells other gateways at once of changed evidence; several changes of one moment make one message. */
  private expediteGossip (): void {
    if (!this.isExpediting) {
      this.isExpediting = true
      this.system.clock.after(0, () => {
        this.isExpediting = false
        this.peers.expedite()
      })
    }
  }

  private recordSend (server: routing.RoutedServer): void {
    this.context.permits.recordSend(server)
    if (this.context.limits.getLimit(server, this.system.clock.monotonicMs()) !== undefined) {
      this.meter.count('gateway_limited_sends_total', {})
    }
  }

  /** Records the facts about a server that an answer states. */
  private recordAnswer ({ server, facts, sentMs, isMatching }: connectionPools.AnswerHead): void {
    const { directory, limits } = this.context
    if (facts.isLeaving) {
      directory.recordLeaving(server.id, server.bornMs, this.options.node)
    }
    if (facts.backOffMs !== undefined && facts.backOffMs > 0) {
      directory.recordBackOff(server, facts.backOffMs)
      this.recordBackOffEnd(server)
    }
    if (isMatching) {
      limits.recordAnswer(server, facts, sentMs, this.system.clock.monotonicMs())
      if (facts.coldLeftMs !== undefined) {
        this.cold.recordAnswer(server, facts.coldLeftMs, sentMs, this.system.clock.monotonicMs())
      }
    }
    // An answer that another process signs, or none, says nothing about this server.
    if (isMatching && facts.isSigned && facts.load !== undefined && !this.loads.recordReport(server, facts.load, this.system.clock.monotonicMs())) {
      this.meter.count('gateway_load_reports_ignored_total', {})
    }
  }

  /** Returns the limits of cold servers by service; they change with the routing document. */
  private createColdProfiles (tolerance: coldLimits.ColdTolerance): coldServers.ColdProfileSource {
    const profiles = new WeakMap<routing.RoutedService, ReturnType<coldServers.ColdProfileSource>>()
    return name => {
      const service = this.context.routing.table?.getService(name)
      if (service?.cold === undefined) {
        return undefined
      }
      const profile = profiles.get(service) ?? { coldMs: service.cold.forMs, limit: coldLimits.createColdLimit(service.cold.perSecond, tolerance) }
      profiles.set(service, profile)
      return profile
    }
  }

  /** A server that asked for a back-off has returned when that ends. */
  private recordBackOffEnd (server: routing.RoutedServer): void {
    const { directory, pace } = this.context
    const nowMs = this.system.clock.monotonicMs()
    const untilMs = directory.getBackOffEndMs(server.id, nowMs)
    if (untilMs !== undefined) {
      pace.recordReturn(server, 'back_off', untilMs, nowMs)
    }
  }

  private createParty (): peerTables.LocalGateway {
    const { allowance, directory, fleet, health, limits, pace, queueing: { demand } } = this.context
    const { cold, evidence, loads } = this
    const listWaiting = (): readonly waitingDemands.WaitingRequest[] => this.listWaiting()
    const { clock } = this.system
    const { node, zone } = this.options
    const { boot, storeReplica: replica } = this
    return new class extends peerTables.LocalGateway {
      override readonly node = node
      override readonly zone = zone
      override readonly boot = boot

      override get revision (): number {
        return replica.revision
      }

      override describe (): messages.GatewayStatus {
        const nowMs = clock.monotonicMs()
        return {
          ...fleet.describe(nowMs),
          admitted: allowance.listAdmitted(),
          outcomes: health.listOutcomes(nowMs),
          leaving: directory.listLeaving(),
          limits: limits.listReported(nowMs),
          parts: evidence.listReported(nowMs),
          waiting: demand.describe(listWaiting(), nowMs),
          cold: cold.listReported(nowMs),
          paces: pace.describe(nowMs),
          plain: loads.listReported(nowMs)
        }
      }

      override aggregateZone (others: readonly string[]): messages.GatewayStatus {
        const nowMs = clock.monotonicMs()
        return {
          ...fleet.aggregate(others, nowMs),
          admitted: allowance.listZoneAdmitted(),
          outcomes: health.aggregateOutcomes(others, nowMs),
          leaving: directory.listLeaving(),
          limits: limits.listReported(nowMs),
          parts: evidence.listReported(nowMs),
          waiting: demand.aggregate(listWaiting(), others, nowMs),
          cold: cold.listReported(nowMs),
          paces: pace.describe(nowMs),
          plain: loads.aggregate(others, nowMs)
        }
      }

      override recordSeen (gateway: string, heardMs: number): void {
        allowance.recordSeen(gateway, heardMs)
      }

      override updatePeer (gateway: string, peerBoot: string, work: messages.GatewayStatus, heardMs: number, isOwnZone: boolean): void {
        allowance.receiveTotals(gateway, peerBoot, work.admitted, heardMs, isOwnZone)
        fleet.updatePeer(gateway, work, heardMs)
        demand.updatePeer(gateway, work.waiting, heardMs, clock.monotonicMs())
        health.updatePeer(gateway, work.outcomes, heardMs)
        directory.mergeLeaving(work.leaving, gateway)
        limits.merge(work.limits ?? {}, gateway, heardMs, clock.monotonicMs())
        evidence.merge(work.parts ?? {}, gateway, heardMs, clock.monotonicMs())
        cold.merge(work.cold ?? {}, heardMs, clock.monotonicMs())
        pace.merge(work.paces ?? {}, gateway, heardMs, clock.monotonicMs())
        loads.updatePeer(gateway, work.plain, heardMs, clock.monotonicMs())
      }

      override updateZone (state: messages.ZoneAggregate, heardMs: number): void {
        for (const gateway of Object.keys(state.heard)) {
          allowance.forgetGateway(gateway)
          fleet.forgetPeer(gateway)
          demand.forgetPeer(gateway)
          health.forgetPeer(gateway)
          loads.forgetPeer(gateway)
        }
        allowance.receiveZoneTotals(state.zone, `${state.teller} ${state.boot}`, state.work.admitted, clock.monotonicMs())
        fleet.updatePeer(createZoneName(state.zone), state.work, heardMs)
        demand.updatePeer(createZoneName(state.zone), state.work.waiting, heardMs, clock.monotonicMs())
        health.updatePeer(createZoneName(state.zone), state.work.outcomes, heardMs)
        directory.mergeLeaving(state.work.leaving, state.teller)
        limits.merge(state.work.limits ?? {}, state.teller, heardMs, clock.monotonicMs())
        evidence.merge(state.work.parts ?? {}, state.teller, heardMs, clock.monotonicMs())
        cold.merge(state.work.cold ?? {}, heardMs, clock.monotonicMs())
        pace.merge(state.work.paces ?? {}, state.teller, heardMs, clock.monotonicMs())
        loads.updatePeer(createZoneName(state.zone), state.work.plain, heardMs, clock.monotonicMs())
      }

      override forgetZone (lostZone: string): void {
        allowance.forgetZone(lostZone)
        fleet.forgetPeer(createZoneName(lostZone))
        demand.forgetPeer(createZoneName(lostZone))
        health.forgetPeer(createZoneName(lostZone))
        loads.forgetPeer(createZoneName(lostZone))
      }
    }()
  }

  /** Returns what waits for decode memory of contested services. Requests that are late in any case do not hold back others. */
  private listWaiting (): readonly waitingDemands.WaitingRequest[] {
    const waiting: waitingDemands.WaitingRequest[] = []
    for (const { priority, isLate, claim } of this.context.capacityQueue.listClaimants()) {
      if (!isLate) {
        waiting.push({ service: claim.service, rank: priority, tokens: claim.memoryTokens, sinceMs: claim.arrivedMs })
      }
    }
    return waiting
  }

  /** Checks the queue periodically until it is empty. */
  private startQueueChecks (): void {
    if (this.isCheckingQueue) {
      return
    }
    this.isCheckingQueue = true
    const { clock } = this.system
    const checkQueue = (): void => {
      this.context.capacityQueue.dispatch(clock.monotonicMs())
      this.isCheckingQueue = this.context.capacityQueue.length > 0
      if (this.isCheckingQueue) {
        clock.after(queueCheckPeriodMs, checkQueue)
      }
    }
    clock.after(queueCheckPeriodMs, checkQueue)
  }

  private setMembers (found: ReadonlyMap<string, members.Member>): void {
    this.peerTable.setMembers(found)
    this.issuers.setOthers([...found].map(([node, { zone }]) => ({ node, zone })))
    this.context.allowance.setPeers([...found.keys()], this.peerTable.unresponsiveAfterMs)
    this.context.pool.setGatewayCount(found.size + 1)
    this.context.fleet.setOtherGateways(found.size)
    this.context.queueing.setGossip(found.size, this.peerTable.periodMs)
    this.context.pace.setOtherGateways(found.size)
    this.context.serverChoice.setOtherGateways(found.size)
    this.loads.retainPeers(name => found.has(name) || name.startsWith(zoneNamePrefix))
  }

  /** Returns this gateway's even share of what all gateways divide, 0 while it is not certain. */
  private getShare (): number {
    return this.storeReplica.isCurrent(this.system.clock.monotonicMs()) ? this.members.getShare(this.storeReplica.revision) : 0
  }

  /** Logs when this gateway may not learn of an evacuation in time: neither the store nor another gateway has been heard for the bound. */
  private checkIsolation (storeAgeMs: number): void {
    const boundMs = this.options.availability?.evacuationMs
    const isIsolated = boundMs !== undefined && storeAgeMs > boundMs && this.peerTable.listSeen(boundMs).length === 0
    if (isIsolated !== this.isIsolated) {
      this.isIsolated = isIsolated
      this.system.log.warn(isIsolated ? 'evacuations may be unknown' : 'evacuations are known again', { boundMs, ageMs: Math.round(storeAgeMs) })
    }
  }

  private setGauges (): void {
    const nowMs = this.system.clock.monotonicMs()
    const ageMs = this.storeReplica.getAgeMs(nowMs)
    this.checkIsolation(ageMs)
    this.meter.gauge('gateway_store_age_ms', {}, Number.isFinite(ageMs) ? ageMs : -1)
    for (const { name } of this.context.routing.table?.document.services ?? []) {
      this.meter.gauge('gateway_retry_credit', { service: name }, this.context.retries.describe(name).credit)
    }
    this.meter.gauge('gateway_stall_ms', {}, this.stalls.getLongestMs(nowMs))
    this.meter.gauge('gateway_waiting', {}, this.context.capacityQueue.length)
    const { demand, services, shares } = this.context.queueing
    for (const service of services) {
      this.meter.gauge('gateway_waiting_elsewhere', { service }, demand.getElsewhere(service, Infinity, nowMs).count)
    }
    for (const [workspace, use] of services.length > 0 ? shares.list(nowMs) : []) {
      this.meter.gauge('gateway_workspace_use', { workspace }, use)
    }
    this.ingress.reportBound()
    this.meter.gauge('gateway_connections', { state: 'open' }, this.ingress.connections)
    this.meter.gauge('gateway_connections', { state: 'closed_for_others' }, this.ingress.closedForOthers)
    this.meter.gauge('gateway_connections', { state: 'refused' }, this.ingress.refusedConnections)
    const held = this.callerMemory.describe()
    for (const kind of ['large', 'small', 'heads', 'uncollected'] as const) {
      this.meter.gauge('gateway_caller_bytes', { kind }, held[kind])
    }
    this.meter.gauge('gateway_bodies_waiting', {}, held.waiting)
    this.meter.gauge('gateway_in_flight', {}, this.handler.inFlight)
    this.meter.gauge('gateway_evacuated_zones', {}, this.context.directory.evacuatedCount)
    this.meter.gauge('gateway_cold_servers', {}, this.cold.count(nowMs))
    this.meter.gauge('gateway_slow_servers', {}, this.loads.countSlow(nowMs))
    for (const { engine, name } of this.context.routing.table?.document.services ?? []) {
      if (engine !== undefined) {
        this.meter.gauge('gateway_slow_engines', { service: name }, this.context.fleet.speeds.countSlow(this.context.directory.listReady(name), nowMs))
      }
    }
    this.meter.gauge('gateway_timed_services', {}, this.context.serverChoice.timedCount)
    this.meter.gauge('gateway_server_limits', {}, this.context.limits.count)
    this.meter.gauge('gateway_recovering_servers', {}, this.context.pace.count(nowMs))
    const { suspect, blocked } = this.evidence.count(nowMs)
    this.meter.gauge('gateway_prompt_parts', { state: 'suspect' }, suspect)
    this.meter.gauge('gateway_prompt_parts', { state: 'blocked' }, blocked)
    this.meter.gauge('gateway_peers', {}, this.peerTable.listSeen(peerPresenceMs).length)
    this.meter.gauge('configuration_version', {}, this.context.routing.table?.document.version ?? 0)
  }
}

/** Returns the name under which a zone aggregate is kept among the gateways. */
function createZoneName (zone: string): string {
  return `${zoneNamePrefix}${zone}`
}
