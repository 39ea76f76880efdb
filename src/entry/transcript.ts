/**
 * The text of one answer over several attempts. A later attempt, repeatable by its seed, is checked against
 * what the caller already has and goes on from there.
 */
import * as types from './types.js'

export class Transcript {
  private delivered = ''
  private position = 0
  private attemptTokens = 0
  private furthestTokens = 0

  /** `isRepeatable` tells whether a new attempt generates the same text. */
  constructor (private readonly sink: types.Sink, readonly isRepeatable: boolean) {}

  /** Output tokens of the furthest attempt. */
  get tokens (): number {
    return this.furthestTokens
  }

  /** Takes the next text of the current attempt; false when it contradicts what was delivered. */
  take (text: string, tokens: number): boolean {
    this.attemptTokens += tokens
    this.furthestTokens = Math.max(this.furthestTokens, this.attemptTokens)
    if (!this.isRepeatable) {
      this.sink.write(text)
      return true
    }
    const known = this.delivered.slice(this.position, this.position + text.length)
    if (!text.startsWith(known)) {
      return false
    }
    this.position += text.length
    this.deliver(text.slice(known.length))
    return true
  }

  /** A new attempt starts from the beginning. */
  restart (): void {
    this.position = 0
    this.attemptTokens = 0
    if (!this.sink.isCommitted) {
      this.delivered = ''
      this.sink.reset()
    }
  }

  private deliver (text: string): void {
    if (text !== '') {
      this.delivered += text
      this.sink.write(text)
    }
  }
}
