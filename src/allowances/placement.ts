/**
 * Maps workspaces to shards, and ranks entries for each shard by rendezvous hashing.
 */
import * as crypto from 'node:crypto'
import * as types from './types.js'

/** Returns the shard of a workspace among `shards`. */
export function getShard (workspace: string, shards: number): number {
  return hash(workspace) % shards
}

/** Returns the entries in order of preference for a shard. The order is the same in every process. */
export function rankEntries (shard: number, entries: readonly types.EntryVm[]): readonly types.EntryVm[] {
  const weighted = entries.map(entry => ({ entry, weight: hash(`${shard} ${entry.node}`) }))
  weighted.sort((one, other) => other.weight - one.weight || compareText(one.entry.node, other.entry.node))
  return weighted.map(one => one.entry)
}

/** Chooses up to `count` live entries as standbys, preferring one in each zone other than the holder's. */
export function chooseStandbys (
  shard: number, holder: types.EntryVm, entries: readonly types.EntryVm[], count: number
): readonly types.EntryVm[] {
  const others = entries.filter(entry => entry.node !== holder.node && entry.state === 'live')
  const ranked = rankEntries(shard, others)
  const zones = new Set([holder.zone])
  const first: types.EntryVm[] = []
  const rest: types.EntryVm[] = []
  for (const entry of ranked) {
    const list = zones.has(entry.zone) ? rest : first
    zones.add(entry.zone)
    list.push(entry)
  }
  return [...first, ...rest].slice(0, count)
}

function hash (text: string): number {
  return crypto.createHash('sha256').update(text).digest().readUInt32BE(0)
}

function compareText (one: string, other: string): number {
  if (one === other) {
    return 0
  }
  return one < other ? -1 : 1
}
