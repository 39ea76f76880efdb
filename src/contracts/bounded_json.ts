/**
 * JSON from outside the process. A value of two or three bytes takes some fifty once it is parsed, so a bound on bytes is none on memory.
 */
import type * as buffer from 'node:buffer'

/** Values that a document may hold; far above those of a page of the store or of a message between gateways. */
const maximumValues = 65_536
/** Documents up to this size, in bytes, cannot hold too many. */
const uncheckedBytes = maximumValues

const quote = 0x22
const comma = 0x2c
const openBracket = 0x5b
const backslash = 0x5c
const openBrace = 0x7b

/** Throws if the bytes are not JSON, or hold more values than a document may. */
export function parseBounded (bytes: buffer.Buffer): unknown {
  if (bytes.length > uncheckedBytes && hasTooManyValues(bytes)) {
    throw new Error(`the document holds more than ${maximumValues} values`)
  }
  return JSON.parse(bytes.toString('utf8'))
}

function hasTooManyValues (bytes: buffer.Buffer): boolean {
  let count = 0
  let isInString = false
  for (let index = 0; index < bytes.length; index += 1) {
    const byte = bytes[index]
    if (byte === quote) {
      isInString = !isInString
    } else if (isInString) {
      index += byte === backslash ? 1 : 0
    } else if (byte === comma || byte === openBracket || byte === openBrace) {
      count += 1
      if (count > maximumValues) {
        return true
      }
    }
  }
  return false
}
