/**
 * Splits a stream of server-sent events into whole events, so that an interrupted stream can resume after the last
 * whole one.
 */
import type * as buffer from 'node:buffer'
import * as byteCollectors from './byte_collector.js'

/** Limit on one event, because a server may send bytes without end. */
const maximumEventBytes = 262_144

const newline = 0x0a
const carriageReturn = 0x0d
const eventEnd = /\r?\n\r?\n/
const idLine = /^id: ?(.*)$/m
/** A line of an event that is not a comment. */
const fieldLine = /^[^:\r\n]/m

export class EventSplitter {
  private readonly partial = new byteCollectors.ByteCollector()
  /** Identifier of the last whole event. */
  lastId: string | undefined
  /** Number of whole events so far; comments do not count. */
  eventCount = 0

  /** Whether the bytes after the last whole event exceed the limit on one event. */
  get isOverflowing (): boolean {
    return this.partial.length > maximumEventBytes
  }

  /** Adds bytes and returns those that complete events. */
  push (chunk: buffer.Buffer): buffer.Buffer {
    const searchedLength = Math.max(0, this.partial.length - 2)
    this.partial.add(chunk)
    const bytes = this.partial.view()
    const end = findLastBoundary(bytes, searchedLength)
    const whole = bytes.subarray(0, end)
    if (end === 0) {
      return whole
    }
    this.partial.clear()
    this.partial.add(bytes.subarray(end))
    for (const event of whole.toString('latin1').split(eventEnd)) {
      this.eventCount += fieldLine.test(event) ? 1 : 0
      const id = idLine.exec(event)?.[1]
      if (id !== undefined) {
        this.lastId = id.trim()
      }
    }
    return whole
  }

  /** Whether the bytes after the last whole event are part of another one; empty lines are not. */
  get isInsideEvent (): boolean {
    return this.partial.view().some(byte => byte !== newline && byte !== carriageReturn)
  }

  /** Removes and returns the bytes after the last whole event. */
  takePartial (): buffer.Buffer {
    const rest = this.partial.view()
    this.partial.clear()
    return rest
  }

  /** Discards a partial event of an interrupted stream. */
  discardPartial (): void {
    this.partial.clear()
  }
}

/** Returns the offset after the last empty line, or 0. Bytes before `from` contain no empty line. */
function findLastBoundary (bytes: buffer.Buffer, from: number): number {
  for (let index = bytes.length - 1; index > from; index -= 1) {
    if (bytes[index] !== newline) {
      continue
    }
    const before = bytes[index - 1] === carriageReturn ? bytes[index - 2] : bytes[index - 1]
    if (before === newline) {
      return index + 1
    }
  }
  return 0
}
