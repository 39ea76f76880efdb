/**
 * A running process of the system, of either role.
 */

export abstract class DaemonProcess {
  /** Opens the listeners. Rejects if an address cannot be bound. */
  abstract start (): Promise<void>
  /** Shuts down gracefully; resolves when nothing is under way. */
  abstract drain (): Promise<void>
  /** Closes everything at once. */
  abstract close (): Promise<void>
}
