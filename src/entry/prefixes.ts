/**
 * Hashes of a prompt's prefixes, one for each whole piece. Each hash covers everything before it.
 */
import * as configuration from '../contracts/configuration.js'
import * as work from '../contracts/work.js'
import * as xxhash from 'xxhash-wasm'

/** Most prefixes of one prompt. */
const maximumPrefixes = 512

export class Hasher {
  constructor (private readonly api: xxhash.XXHashAPI) {}

  /** Returns the hashes, shortest prefix first; none for a prompt of less than one piece. */
  hashPrefixes (prompt: work.Prompt, model: configuration.Model): string[] {
    const hashes: string[] = []
    let last = ''
    for (const piece of splitPieces(prompt, model)) {
      last = this.api.h64ToString(`${last}:${piece}`)
      hashes.push(last)
    }
    return hashes
  }
}

export async function createHasher (): Promise<Hasher> {
  return new Hasher(await xxhash.default())
}

function splitPieces (prompt: work.Prompt, model: configuration.Model): string[] {
  const pieceLength = typeof prompt === 'string'
    ? Math.max(1, Math.floor(model.pieceTokens * model.bytesPerToken))
    : model.pieceTokens
  const pieces: string[] = []
  for (let end = pieceLength; end <= prompt.length && pieces.length < maximumPrefixes; end += pieceLength) {
    const piece = prompt.slice(end - pieceLength, end)
    pieces.push(typeof piece === 'string' ? piece : piece.join(','))
  }
  return pieces
}
