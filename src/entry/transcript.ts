/**
 * The text of one answer across several attempts. With a seed, a later attempt generates the same text: it is compared
 * with the text already delivered, and only the text beyond that is delivered.
 */
import * as types from './types.js'

export class Transcript {
  private delivered = ''
  private position = 0
  private attemptTokens = 0
  private furthestTokens = 0

  /** `isRepeatable` is set if a new attempt generates the same text. */
  constructor (private readonly sink: types.Sink, readonly isRepeatable: boolean) {}

  /** Output tokens of the attempt that got furthest. */
  get tokens (): number {
    return this.furthestTokens
  }

  /** Adds the next text of the current attempt. Returns false if it differs from the text already delivered. */
  append (text: string, tokens: number): boolean {
    this.attemptTokens += tokens
    this.furthestTokens = Math.max(this.furthestTokens, this.attemptTokens)
    if (!this.isRepeatable) {
      this.sink.write(text)
      return true
    }
    const expected = this.delivered.slice(this.position, this.position + text.length)
    if (!text.startsWith(expected)) {
      return false
    }
    this.position += text.length
    this.deliver(text.slice(expected.length))
    return true
  }

  /** Prepares for a new attempt, which starts from the beginning. */
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
