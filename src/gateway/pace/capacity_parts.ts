/**
 * The part of each server's capacity that a gateway may use, as the choice of a server sees it.
 */
import type * as routing from '../../contracts/routing.js'

export abstract class CapacityParts {
  /** Part of a server's capacity that this gateway may use now, above 0 and up to 1. */
  abstract getPart (server: routing.RoutedServer, nowMs: number): number
  /** Whether the other gateways are expected to use all that a recovering server may take now. */
  abstract isHeld (server: routing.RoutedServer, nowMs: number): boolean
  /** Records that this gateway gives a server a request. */
  abstract recordStart (server: string): void
  /** Returns the parts as they are, for an explanation: reading them changes nothing and draws no random number. */
  abstract observe (): CapacityParts
}

/** The whole capacity of each server. */
export class FullCapacity extends CapacityParts {
  override getPart (): number {
    return 1
  }

  override isHeld (): boolean {
    return false
  }

  override recordStart (): void {}

  override observe (): CapacityParts {
    return this
  }
}
