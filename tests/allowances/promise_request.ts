/**
 * Promise requests of a leaseholder, for tests of the standbys that answer them.
 */
import * as standbys from '../../src/allowances/standby.js'

/** Creates a request of the leaseholder `a` in term 1, with the given changes. */
export function createRequest (change: Partial<standbys.PromiseRequest> = {}): standbys.PromiseRequest {
  return {
    shard: 0,
    term: 1,
    holder: 'a',
    holderBoot: 'a-1',
    forMs: 3000,
    floors: [],
    sequence: 0,
    base: 0,
    released: false,
    revision: 0,
    shareMs: 0,
    echoMs: 0,
    forgo: false,
    ...change
  }
}
