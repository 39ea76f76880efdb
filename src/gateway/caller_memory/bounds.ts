/**
 * Bounds on what callers may make a gateway hold, from the memory and the descriptors of its VM.
 */
import * as accounts from './account.js'
import type * as settings from '../settings.js'

/** Resident set of a gateway without callers: 71 MB measured, most of it Node.js itself. */
const processBytes = 74_448_896
/** One body of the default limit with the 64 KiB that one read may add. */
const leastLargeBytes = 4_259_840
const leastSmallBytes = 1_048_576
/** Part of the account that is for small bodies. */
const smallPart = 0.2
/** Bytes read between two minor collections: a part of the account, and never more than V8 itself allows. */
const transientPart = 0.25
const leastTransientBytes = 2_097_152
const mostTransientBytes = 67_108_864
/** Memory of a VM below which the heap is kept small. */
const smallVmBytes = 268_435_456
/** A caller that is refused for lack of memory learns it after a second at most. */
const longestWaitMs = 1_000
const graceMs = 1_000
/** Least rate of a long message while others wait, in bytes a second: gateways wait 400 ms for each other. */
const leastPeerRate = 1_048_576

/** Descriptors that a gateway without connections has open, measured 30. */
const processDescriptors = 32
/**
 * Parts of the other descriptors: for callers, with as many for the servers that their requests are sent to, and for the inner listeners. With
 * 1,024 descriptors other gateways have 198, two for each of the 75 that a zone has with 300 gateways.
 */
const callersPart = 0.35
const peersPart = 0.2
const probesPart = 0.04
const leastProbes = 4
/** Memory of a connection without a request, with its parser and its objects: 100 KB measured on 300 connections. */
const connectionBytes = 102_400
const leastConnections = 64

/** Whether the heap is to be kept small. */
export function isSmallVm ({ vmBytes }: settings.GatewaySettings['callers']): boolean {
  return vmBytes < smallVmBytes
}

/** How many connections each listener may have open. */
export interface ConnectionLimits {
  readonly callers: number
  readonly peers: number
  /** For each of the listeners for probes and metrics. */
  readonly probes: number
}

export function createConnectionLimits ({ descriptors, memoryPart, vmBytes }: settings.GatewaySettings['callers']): ConnectionLimits {
  // Fewer than the process itself has open cannot be meant.
  const usable = descriptors > processDescriptors ? descriptors - processDescriptors : Infinity
  const inMemory = Math.max(leastConnections, Math.floor((vmBytes - processBytes) * memoryPart / connectionBytes))
  return {
    callers: Math.max(1, Math.min(inMemory, Math.floor(usable * callersPart))),
    peers: Math.max(leastProbes, Math.floor(usable * peersPart)),
    probes: Math.max(leastProbes, Math.floor(usable * probesPart))
  }
}

/** Bounds on what the messages of other gateways may hold while they are read: they are the size of a small body, few are larger. */
export function createPeerAccountLimits (): accounts.AccountLimits {
  return { largeBytes: leastLargeBytes, smallBytes: leastSmallBytes, transientBytes: leastTransientBytes, longestWaitMs, graceMs, leastBytesPerSecond: leastPeerRate }
}

export function createAccountLimits ({ vmBytes, memoryPart, leastBodyRate }: settings.GatewaySettings['callers']): accounts.AccountLimits {
  const bytes = Math.max(0, vmBytes - processBytes) * memoryPart
  return {
    largeBytes: Math.max(leastLargeBytes, bytes * (1 - smallPart)),
    smallBytes: Math.max(leastSmallBytes, bytes * smallPart),
    transientBytes: Math.min(mostTransientBytes, Math.max(leastTransientBytes, bytes * transientPart)),
    longestWaitMs,
    graceMs,
    leastBytesPerSecond: leastBodyRate
  }
}
