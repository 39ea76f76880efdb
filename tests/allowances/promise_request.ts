/**
 * Promise requests of a leaseholder, for tests of the standbys that answer them.
 */
import * as succession from '../../src/allowances/succession.js'

/** Creates a request of the leaseholder `a` in term 1, with the given changes. */
export function createRequest (change: Partial<succession.PromiseRequest> = {}): succession.PromiseRequest {
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
