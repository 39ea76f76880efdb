/**
 * Answers offers: predicts the wait, and reserves capacity for tasks that are about to arrive.
 */
import * as attempts from './attempt.js'
import * as events from '../contracts/events.js'
import * as failures from '../contracts/failure.js'
import * as gateContexts from './gate_context.js'
import * as reservations from './reservations.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

type OfferCall = types.CallOf<'work.offer'>

/** Longest waits for which a reservation is made. */
interface WaitBounds {
  /** The longest wait that the task allows. */
  readonly longestMs: number
  /** The part of `longestMs` that the workspace may use, given its fair share. */
  readonly fairMs: number
}

/** Bounds of an offer without a reservation: negative, so that no wait is short enough. */
const noReservationBounds: WaitBounds = { longestMs: -1, fairMs: -1 }

export class OfferHandler {
  private lastReservation = 0

  constructor (private readonly context: gateContexts.GateContext) {}

  get count (): number {
    return this.context.scheduler.reservations.size
  }

  /** Answers an offer, with a reservation if it requests one and the capacity is expected in time. */
  offer (event: OfferCall): reservations.Reservation | undefined {
    const { scheduler, outbox, options, prefixes } = this.context
    const { params, nowMs } = event
    this.releaseRequest(params.request)
    prefixes.addOffer(params.request, params.prefixes)
    const cachedTokens = prefixes.countCached(params.prefixes) * options.capacity.pieceTokens
    const demand = attempts.createOfferedDemand(params, cachedTokens)
    if (!scheduler.couldFit(demand)) {
      outbox.fail(event.call, failures.createFailure('not_run', 'memory_exhausted', [options.server]))
      return undefined
    }
    const waitMs = this.predictWaitMs(event, demand)
    const bounds = this.getWaitBounds(event)
    const reservation = waitMs <= bounds.fairMs ? this.reserve(event, demand, waitMs) : undefined
    const isRefused = params.holdMs !== undefined && reservation === undefined
    outbox.succeed(event.call, {
      boot: options.boot,
      waitMs,
      serviceMs: scheduler.getServiceMs(demand, nowMs),
      cachedTokens: Math.min(cachedTokens, params.promptTokens),
      reservation: reservation?.id,
      retryAfterMs: isRefused ? Math.max(1, waitMs - bounds.fairMs) : undefined,
      isAboveShare: isRefused ? waitMs <= bounds.longestMs : undefined,
      load: scheduler.getLoad(false)
    })
    return reservation
  }

  /** Consumes the reservation that a start names; returns false if it does not exist or belongs to another request. */
  consume (start: work.Start): boolean {
    const { reservations } = this.context.scheduler
    if (start.reservation === undefined || reservations.get(start.reservation)?.request !== start.request) {
      return false
    }
    this.removeReservation(start.reservation, 'reservation.used')
    return true
  }

  /** Removes a reservation; no effect if it does not exist. */
  removeReservation (id: string, kind: 'reservation.used' | 'reservation.lapsed'): void {
    const reservation = this.context.scheduler.reservations.remove(id)
    if (reservation !== undefined) {
      this.record(kind, reservation)
    }
  }

  releaseSession (session: string): void {
    for (const reservation of this.context.scheduler.reservations.removeSession(session)) {
      this.record('reservation.lapsed', reservation)
    }
  }

  /** Returns the longest waits for which an offer gets a reservation; none for an offer that does not request one. */
  private getWaitBounds ({ params }: OfferCall): WaitBounds {
    const { holdMs, workspace, weight } = params
    if (holdMs === undefined) {
      return noReservationBounds
    }
    const longestMs = params.maximumWaitMs ?? holdMs
    const waitFraction = weight === undefined ? 1 : this.context.scheduler.waitPredictor.getWaitFraction(workspace, weight)
    return { longestMs, fairMs: longestMs * waitFraction }
  }

  private reserve (event: OfferCall, demand: attempts.Demand, waitMs: number): reservations.Reservation {
    const { params, nowMs, session } = event
    const { holdMs = 0 } = params
    this.lastReservation += 1
    const expectedAtMs = nowMs + params.expectedInMs + waitMs
    const reservation = {
      id: `${this.context.options.boot}.${this.lastReservation}`,
      request: params.request,
      workspace: params.workspace,
      weight: params.weight ?? 1,
      session,
      pieces: this.context.scheduler.countPieces(demand),
      serviceMs: this.context.scheduler.waitPredictor.getFullLoadServiceMs(demand, nowMs),
      expectedAtMs,
      lapsesAtMs: expectedAtMs + holdMs
    }
    this.context.scheduler.reservations.add(reservation)
    this.record('reservation.made', reservation)
    return reservation
  }

  /** Predicts the wait after the expected arrival: in the queue or, for a reservation, until unreserved capacity is free. */
  private predictWaitMs ({ params, nowMs }: OfferCall, demand: attempts.Demand): number {
    const { scheduler } = this.context
    const capacityMs = params.holdMs === undefined ? undefined : scheduler.waitPredictor.predictCapacityMs(demand, params.expectedInMs, nowMs)
    const readyMs = capacityMs ?? scheduler.waitPredictor.predictWaitMs(demand, params.workspace, undefined, nowMs)
    return Math.max(0, readyMs - params.expectedInMs)
  }

  /** Releases the reservations of an earlier offer for the request, whose answer may have been lost. */
  private releaseRequest (request: string): void {
    for (const reservation of this.context.scheduler.reservations.listRequest(request)) {
      this.removeReservation(reservation.id, 'reservation.lapsed')
    }
  }

  private record (kind: events.EventKind, reservation: reservations.Reservation): void {
    const { request, workspace, id } = reservation
    this.context.outbox.add({ kind: 'record', draft: { kind, request, workspace, details: { reservation: id } } })
  }
}
