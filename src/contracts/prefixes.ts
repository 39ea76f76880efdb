/**
 * Hashes of a prompt's prefixes, by which engines publish what their prefix caches hold and routers look for it.
 */
import * as xxhash from 'xxhash-wasm'
import * as work from './work.js'

const hasher = await xxhash.default()
const bytesOfToken = 4
/** Most prefixes of one prompt that are hashed. */
const maximumPrefixes = 512

/**
 * Returns one hash for each whole piece of the prompt, shortest prefix first, as 16 hexadecimal digits. Each
 * hash covers the model's name and all pieces so far: it is the XXH64 of the piece with the hash before it as seed.
 * `bytesPerToken` applies to text; tokens are hashed as 32-bit integers, least significant byte first.
 */
export function hashPrefixes (
  model: string, prompt: work.Prompt, pieceTokens: number, bytesPerToken: number
): readonly string[] {
  const bytes = typeof prompt === 'string' ? new TextEncoder().encode(prompt) : encodeTokens(prompt)
  const tokenBytes = typeof prompt === 'string' ? bytesPerToken : bytesOfToken
  const pieceBytes = Math.max(1, Math.floor(pieceTokens * tokenBytes))
  const hashes: string[] = []
  let seed = hasher.h64(model)
  for (let end = pieceBytes; end <= bytes.length && hashes.length < maximumPrefixes; end += pieceBytes) {
    seed = hasher.h64Raw(bytes.subarray(end - pieceBytes, end), seed)
    hashes.push(seed.toString(16).padStart(16, '0'))
  }
  return hashes
}

function encodeTokens (tokens: readonly number[]): Uint8Array {
  const view = new DataView(new ArrayBuffer(tokens.length * bytesOfToken))
  for (const [index, token] of tokens.entries()) {
    view.setUint32(index * bytesOfToken, token, true)
  }
  return new Uint8Array(view.buffer)
}
