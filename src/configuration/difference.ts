/**
 * Differences between two bodies of a section, member by member.
 */
import * as util from 'node:util'
import * as changeRequests from './change_request.js'

/** Returns the differences in the order of the members. Lists are compared by position, also if their lengths differ. */
export function findDifferences (before: unknown, after: unknown): readonly changeRequests.Difference[] {
  const found: changeRequests.Difference[] = []
  collectDifferences('', before, after, found)
  return found
}

function collectDifferences (path: string, before: unknown, after: unknown, found: changeRequests.Difference[]): void {
  if (util.isDeepStrictEqual(before, after)) {
    return
  }
  if (!isObjectOrArray(before) || !isObjectOrArray(after) || Array.isArray(before) !== Array.isArray(after)) {
    found.push({ path, before, after })
    return
  }
  const names = new Set([...Object.keys(before), ...Object.keys(after)])
  for (const name of names) {
    collectDifferences(path === '' ? name : `${path}.${name}`, before[name], after[name], found)
  }
}

function isObjectOrArray (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}
