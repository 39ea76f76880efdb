/**
 * The state that the modules of a gate share.
 */
import * as attempts from './attempt.js'
import * as deadlines from './deadlines.js'
import * as outboxes from './outbox.js'
import * as prefixIndexes from './prefix_index.js'
import * as schedulers from './scheduler.js'
import * as tables from './attempt_table.js'
import * as types from './types.js'

/**
 * An event that is due at a set time: the end of an attempt's wait, the repetition of an abort, the eviction of a finished
 * prefill, or the expiry of a reservation.
 */
export type TimedEvent =
  | { readonly kind: 'wait' | 'abort' | 'evict', readonly attempt: attempts.Attempt }
  | { readonly kind: 'lapse', readonly reservation: string }

export interface GateContext {
  readonly options: types.GateOptions
  readonly outbox: outboxes.Outbox
  readonly due: deadlines.Deadlines<TimedEvent>
  readonly prefixes: prefixIndexes.PrefixIndex
  readonly table: tables.AttemptTable
  readonly scheduler: schedulers.Scheduler
}
