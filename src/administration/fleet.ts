/**
 * What the administration API needs of the process around it.
 */
import * as z from 'zod'
import * as events from '../contracts/events.js'
import * as protocol from '../contracts/protocol.js'

export type Status = z.infer<typeof protocol.StatusAnswer>

/** All processes of the deployment, as far as they answer. */
export abstract class Fleet {
  abstract readStatus (): Promise<readonly Status[]>
  /** Returns at most `limit` events of each process, of one request if that is given. */
  abstract readTimeline (request: string | undefined, limit: number): Promise<readonly events.Event[]>
}
