/**
 * Cuts a stream of server-sent events into whole events, so that a stream that breaks off can go on behind the last
 * whole one.
 */
import * as buffer from 'node:buffer'

const newline = 0x0a
const idLine = /^id: ?(.*)$/m

export class EventCutter {
  private rest: buffer.Buffer = buffer.Buffer.alloc(0)
  /** Identifier of the last whole event. */
  lastId: string | undefined

  /** Takes bytes in and returns those that belong to whole events. */
  push (chunk: buffer.Buffer): buffer.Buffer {
    const bytes = this.rest.length === 0 ? chunk : buffer.Buffer.concat([this.rest, chunk])
    const end = findLastBoundary(bytes)
    const whole = bytes.subarray(0, end)
    this.rest = bytes.subarray(end)
    for (const event of whole.toString('latin1').split('\n\n')) {
      const id = idLine.exec(event)?.[1]
      if (id !== undefined) {
        this.lastId = id.trim()
      }
    }
    return whole
  }

  /** Returns what is left when the stream has ended in order. */
  flush (): buffer.Buffer {
    const rest = this.rest
    this.rest = buffer.Buffer.alloc(0)
    return rest
  }

  /** Forgets a part of an event whose stream broke off. */
  drop (): void {
    this.rest = buffer.Buffer.alloc(0)
  }
}

/** Returns the number of bytes up to the end of the last empty line. */
function findLastBoundary (bytes: buffer.Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] === newline && bytes[index - 1] === newline) {
      return index + 1
    }
  }
  return 0
}
