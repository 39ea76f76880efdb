/**
 * Positions in the history of the platform's store.
 *
 * A store that is restored from a copy begins a new generation of its history: revisions go back and are given out again with other
 * content. A position joins both to one number that only grows, so that beliefs are ordered by it everywhere. A store that
 * names no generation is in generation 0, where positions are plain revisions.
 */

/** Revisions that a generation may hold; exact in a double together with `longestGeneration`. */
const revisionsPerGeneration = 2 ** 40
/** Highest generation whose positions are exact integers. */
export const longestGeneration = 2 ** 13 - 1
/** How far fencing numbers lie apart between generations: more revisions than a store gives out in the time that a copy is old. */
const fencesPerGeneration = 2 ** 24

export function createPosition (generation: number, revision: number): number {
  return generation * revisionsPerGeneration + revision
}

export function getGeneration (position: number): number {
  return Math.floor(position / revisionsPerGeneration)
}

export function getRevision (position: number): number {
  return position % revisionsPerGeneration
}

/** Returns the fencing number of what was written at a position; small enough for servers that keep 32 bits of it. */
export function createFence (position: number): number {
  return getGeneration(position) * fencesPerGeneration + getRevision(position)
}
