/**
 * The text that an engine generates: a function of the prompt and the seed, so that a caller can check that it
 * got the whole answer to its own request.
 */
import * as xxhash from 'xxhash-wasm'
import * as work from '../src/contracts/work.js'

const hasher = await xxhash.default()
const syllables = ['ka', 'lo', 'mi', 'ne', 'ru', 'sa', 'ti', 'vo'] as const
const wordSyllables = 4
/** Characters of every token: a space and the syllables of two letters. */
const tokenLength = 1 + 2 * wordSyllables
/** Odd multipliers that spread consecutive numbers over 32 bits. */
const spread = 0x9E3779B1
const mix = 0x85EBCA6B

/** Returns a digest of the prompt and the seed, from which every token follows. */
export function getDigest (prompt: work.Prompt, seed = 0): number {
  const text = typeof prompt === 'string' ? `text ${prompt}` : `tokens ${prompt.join(' ')}`
  return hasher.h32(text, seed)
}

/** Returns the text of token `index`, counted from 0. */
export function createToken (digest: number, index: number): string {
  let bits = scatter(digest, index)
  let word = ' '
  for (let position = 0; position < wordSyllables; position += 1) {
    word += syllables[bits & 7] as string
    bits >>>= 3
  }
  return word
}

/** Returns the text of the first `count` tokens. */
export function createText (digest: number, count: number): string {
  let text = ''
  for (let index = 0; index < count; index += 1) {
    text += createToken(digest, index)
  }
  return text
}

/** Where an output ends at a stop string. */
export interface Stop {
  /** Tokens generated until the stop string was complete. */
  readonly tokens: number
  /** Characters of text before it. */
  readonly length: number
}

/** Returns where the first of the stop strings occurs within the first `count` tokens, if it does. */
export function findStop (digest: number, count: number, stops: readonly string[]): Stop | undefined {
  const text = stops.length === 0 ? '' : createText(digest, count)
  let found: Stop | undefined
  for (const stop of stops) {
    const start = text.indexOf(stop)
    const tokens = Math.ceil((start + stop.length) / tokenLength)
    if (start >= 0 && (found === undefined || start < found.length)) {
      found = { tokens, length: start }
    }
  }
  return found
}

/** Returns what of token `index` lies before the end of the text at `length` characters. */
export function createTokenBefore (digest: number, index: number, length: number): string {
  return createToken(digest, index).slice(0, Math.max(0, length - index * tokenLength))
}

/** Returns after how many tokens the output ends by itself: between 1 and twice the mean. */
export function getNaturalLength (digest: number, meanTokens: number): number {
  return 1 + scatter(digest, -1) % (2 * meanTokens)
}

function scatter (digest: number, index: number): number {
  const product = Math.imul(digest ^ Math.imul(index + 1, spread), mix)
  return (product ^ (product >>> 15)) >>> 0
}
