/**
 * Operators' credentials and the access rights of teams. Only hashes are stored; they are compared in constant time.
 */
import * as crypto from 'node:crypto'
import * as configuration from '../contracts/configuration.js'
import * as documents from './document.js'

/** Team name of the administrators, who may change every section. */
export const rootTeam = 'root'

/** The team that a caller's credential belongs to. */
export interface Operator {
  readonly team: string
  /** Section names, or prefixes that end in `*`. */
  readonly sections: readonly string[]
}

/** Returns the SHA-256 of a credential or key in hexadecimal. */
export function hashSecret (secret: string): string {
  return crypto.createHash('sha256').update(secret).digest('hex')
}

/** Finds the team whose credential has the hash. Always compares all hashes, so that the time does not depend on which one matches. */
export function findOperator (
  document: documents.Document, administratorHash: string, hash: string
): Operator | undefined {
  let operator: Operator | undefined
  for (const [name, team] of document.listTeams()) {
    if (isSameHash(team.credentialHash, hash)) {
      operator = { team: name, sections: team.sections }
    }
  }
  return isSameHash(administratorHash, hash) ? { team: rootTeam, sections: ['*'] } : operator
}

/** Returns whether an operator may change a section. Only the administrators may change teams. */
export function mayChange (operator: Operator, section: string): boolean {
  if (operator.team === rootTeam) {
    return true
  }
  if (configuration.getSectionKind(section) === 'teams') {
    return false
  }
  return operator.sections.some(pattern => matchesPattern(pattern, section))
}

/**
 * Returns the owner of a section: the team with the longest matching pattern, on a tie the first by name.
 * Sections that no pattern matches, and teams, belong to the administrators.
 */
export function findOwner (teams: ReadonlyMap<string, configuration.Team>, section: string): string {
  let owner = rootTeam
  let longest = -1
  if (configuration.getSectionKind(section) === 'teams') {
    return owner
  }
  for (const name of [...teams.keys()].sort()) {
    for (const pattern of teams.get(name)?.sections ?? []) {
      if (pattern.length > longest && matchesPattern(pattern, section)) {
        owner = name
        longest = pattern.length
      }
    }
  }
  return owner
}

function matchesPattern (pattern: string, section: string): boolean {
  return pattern.endsWith('*') ? section.startsWith(pattern.slice(0, -1)) : section === pattern
}

function isSameHash (first: string, second: string): boolean {
  const left = Buffer.from(first)
  const right = Buffer.from(second)
  return left.length === right.length && crypto.timingSafeEqual(left, right)
}
