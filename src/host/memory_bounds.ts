/**
 * Bounds on what others may make a process of the product hold, from the memory and the descriptors in its settings.
 */
import * as settings from '../contracts/settings.js'

/** Resident set of a process without callers, its start included: 118 to 126 MB measured for entries and agents. */
const processBytes = 132_120_576
const bytesPerMb = 1_048_576
/** Descriptors of a process without callers, measured 25 to 61 with one server; links to further servers take two each. */
const processDescriptors = 64
/** Part of the memory beyond the process itself for connections of callers. */
const connectionsPart = 0.4
/** Memory of a connection without a request, with its parser and its objects: 100 KB measured on 300 connections. */
const connectionBytes = 102_400
/** Parts of the other descriptors; the rest is for links to servers and the store. */
const callersPart = 0.5
const operatorsPart = 0.05
const unprovenPart = 0.1
const leastConnections = 16
/** Probes, scrapes and operators need few connections, and links prove themselves within a round trip. */
const mostOperators = 64
const mostUnproven = 256

/** How many connections a listener may have open. */
export interface ConnectionBounds {
  readonly callers: number
  /** For administration, probes and metrics. */
  readonly operators: number
  /** For connections of other processes that have not proved the credential yet. */
  readonly unproven: number
}

type Limits = Pick<settings.Limits, 'memoryMb' | 'descriptors' | 'headerBytes'>

/** Returns the memory beyond what the process itself takes, in bytes. */
export function getSpareBytes ({ memoryMb }: Pick<Limits, 'memoryMb'>): number {
  return Math.max(0, memoryMb * bytesPerMb - processBytes)
}

export function createConnectionBounds (limits: Limits): ConnectionBounds {
  const usable = Math.max(0, limits.descriptors - processDescriptors)
  const inMemory = Math.floor(getSpareBytes(limits) * connectionsPart / (connectionBytes + limits.headerBytes))
  const bound = (part: number, most: number): number => Math.max(leastConnections, Math.min(most, Math.floor(usable * part)))
  return { callers: bound(callersPart, inMemory), operators: bound(operatorsPart, mostOperators), unproven: bound(unprovenPart, mostUnproven) }
}
