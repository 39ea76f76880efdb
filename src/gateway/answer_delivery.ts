/**
 * How far the answer to a request got on its way to the caller, and which side closed the connection first.
 */
import type * as http from 'node:http'
import type * as net from 'node:net'

/** Why the gateway closed a connection. `destroyed`: at once, most often because of a broken answer; `other`: Node.js ended it. */
export type CloseReason = 'last_answer' | 'idle' | 'too_many_connections' | 'unreadable' | 'too_many_waiting' | 'destroyed' | 'exit' | 'other'

/** Which side closed a connection first; an error of the connection counts as the caller's. */
export type Closing =
  | { readonly closedBy: 'nobody' | 'caller', readonly closeReason?: undefined }
  | { readonly closedBy: 'gateway', readonly closeReason: CloseReason }

/** `handed_over`: the whole answer was given to the socket; `written`: the operating system has taken all of it. */
export type DeliveryStage = 'none' | 'begun' | 'handed_over' | 'written'

export type Delivery = Closing & {
  readonly stage: DeliveryStage
  /** Status that the caller got; 0 without a head. */
  readonly status: number
  /** Bytes that the operating system had not taken; known only while the connection is open. */
  readonly unwrittenBytes?: number | undefined
}

export class AnswerDelivery {
  /** Resolves when the answer has been written, when its connection has ended, or when the process ends without either. */
  readonly settled: Promise<Delivery>
  private resolve: (delivery: Delivery) => void = () => {}
  private isWritten = false

  constructor (private readonly response: http.ServerResponse, private readonly socket: net.Socket, private readonly getClosing: () => Closing) {
    this.settled = new Promise(resolve => {
      this.resolve = resolve
    })
    response.once('finish', () => {
      // A socket that is destroyed reports the bytes that it drops as finished, too.
      this.isWritten = !socket.destroyed
    })
  }

  get closing (): Closing {
    return this.getClosing()
  }

  /** Takes the state as final. */
  settle (): void {
    const { headersSent, statusCode, writableLength } = this.response
    const unwrittenBytes = this.isWritten || this.socket.destroyed ? undefined : writableLength
    this.resolve({ ...this.closing, stage: this.stage, status: headersSent ? statusCode : 0, unwrittenBytes })
  }

  private get stage (): DeliveryStage {
    if (this.isWritten) {
      return 'written'
    }
    if (this.response.writableEnded) {
      return 'handed_over'
    }
    return this.response.headersSent ? 'begun' : 'none'
  }
}
