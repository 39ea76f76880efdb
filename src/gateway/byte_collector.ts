/**
 * Collects bytes that arrive in pieces. The cost is proportional to the number of bytes, however small the pieces are: a buffer object for
 * each piece would take a hundred times their memory.
 */
import * as buffer from 'node:buffer'

export class ByteCollector {
  private bytes: buffer.Buffer = buffer.Buffer.alloc(0)
  private isOwned = false
  private size = 0

  get length (): number {
    return this.size
  }

  /** Adds a piece, which the caller must not change afterwards. */
  add (piece: buffer.Buffer): void {
    const length = this.size + piece.length
    if (this.size === 0) {
      this.bytes = piece
      this.isOwned = false
    } else {
      if (!this.isOwned || length > this.bytes.length) {
        const grown = buffer.Buffer.allocUnsafe(length * 2)
        this.bytes.copy(grown, 0, 0, this.size)
        this.bytes = grown
        this.isOwned = true
      }
      piece.copy(this.bytes, this.size)
    }
    this.size = length
  }

  /** Returns all bytes, as a view that is valid until bytes are added. */
  view (): buffer.Buffer {
    return this.bytes.subarray(0, this.size)
  }

  clear (): void {
    this.bytes = buffer.Buffer.alloc(0)
    this.isOwned = false
    this.size = 0
  }
}
