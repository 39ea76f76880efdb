/**
 * The periodic check of an account of memory: collects the buffers that something waits for, and ends what has waited for too long.
 */
import type * as accounts from './account.js'
import * as garbage from '../../host/garbage_collector.js'

/** Returns the collection that was made, if any. */
export function checkAccount (account: accounts.CallerMemory, nowMs: number): garbage.CollectionKind | undefined {
  const kind = account.selectCollection(nowMs)
  if (kind !== undefined) {
    account.recordCollection(kind, nowMs)
    garbage.collectGarbage(kind)
  }
  account.check(nowMs)
  return kind
}
