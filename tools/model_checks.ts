/**
 * The properties that the specifications below `models/` are checked for, and the faults seeded to see that
 * each check can fail.
 */

/** One run of the checker. */
export interface ModelCheck {
  /** Name of the specification's file without its ending. */
  readonly model: string
  readonly property: string
  /** Mechanism that the specification is made to lack; the checker must then find a violation. */
  readonly fault?: string
  /** Definitions passed to the preprocessor. */
  readonly defines: readonly string[]
  /** Whether the checker is worth optimizing. */
  readonly isLarge?: boolean
}

function check (model: string, property: string, defines: readonly string[], faults: readonly string[]): ModelCheck[] {
  const checks: ModelCheck[] = [{ model, property, defines }]
  for (const fault of faults) {
    checks.push({ model, property, fault, defines: [...defines, fault] })
  }
  return checks
}

const twoMembers = ['MEMBERS=2']
const threeMembers = ['MEMBERS=3', 'MAX_TERM=2', 'P_RIGHTS']
const threeShares = ['MEMBERS=3', 'MAX_TERM=2', 'RESTARTS=0', 'P_SHARES']

export const modelChecks: readonly ModelCheck[] = [
  { model: 'allowance', property: 'never two rights, 3 members', defines: threeMembers, isLarge: true },
  { model: 'allowance', property: 'never two users of a share, 3 members', defines: threeShares, isLarge: true },
  ...check('allowance', 'never two users of a share, 3 members', threeShares, ['ALWAYS_FREE']).slice(1),
  ...check('allowance', 'never two rights, 3 members', threeMembers, ['ANY_PROMISE']).slice(1),
  ...check('attempt', 'no attempt starts twice', ['P_STARTS'], ['NO_BOOT_CHECK', 'GUESSED', 'NO_REPEAT_CHECK']),
  ...check('attempt', 'no start after the verdict not_run', ['P_NOT_RUN'], ['NO_TOMBSTONE']),
  ...check('attempt', 'no second answer', ['P_ANSWERS'], ['ANSWER_AGAIN']),
  ...check('attempt', 'no memory held after the entry left', ['P_MEMORY'], ['NO_EXPIRY']),
  ...check('allowance', 'grants are accepted in the order of terms', twoMembers, ['ANY_BOOT', 'NO_OUTWAIT']),
  ...check('allowance', 'never two rights, 2 members', [...twoMembers, 'P_RIGHTS'], [
    'FROM_ANSWER', 'NO_PROMISE', 'NO_GRACE', 'WHILE_ACQUIRING', 'ASSUME_REFUSED', 'NO_COMPARE'
  ]),
  ...check('allowance', 'never two users of a share, 2 members', [...twoMembers, 'P_SHARES'], [
    'NO_RESERVE', 'NO_BASE', 'WHILE_PROMISED', 'STILL_LENT'
  ]),
  ...check('allowance', 'never two rights, finer time', [...twoMembers, 'LEASE=2', 'P_RIGHTS'], []),
  ...check('configuration', 'a version never goes back', ['P_FORWARD'], ['TAKE_LOWER']),
  ...check('configuration', 'an accepted change is kept, a refused one is not there', ['P_KEPT'], ['NO_COMPARE', 'ASSUME_LOST']),
  ...check('configuration', 'not ready with an old version', ['P_READY'], ['STALE_READY'])
]
