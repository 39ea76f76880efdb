/**
 * What an engine has seen and done since its start.
 */

/** Life of one request identifier. */
export interface RequestCounts {
  received: number
  /** Times that memory was given to it for the first time. */
  started: number
  finished: number
  failed: number
  cancelled: number
}

/** Identifiers remembered; the oldest are forgotten. */
const maximumRequests = 200_000

export class EngineCounts {
  /** Prompt tokens computed by prefills, those broken off included. */
  prefilledTokens = 0
  /** Prompt tokens found in the prefix cache. */
  cachedTokens = 0
  /** Prompt tokens whose KV cache another engine took, and those evicted before that. */
  takenTokens = 0
  evictedTokens = 0
  /** Tokens computed for KV caches that were taken over here, and those of which at least one token was decoded. */
  importedTokens = 0
  importedDecodedTokens = 0
  /** Tokens computed here and then decoded here. */
  localDecodedTokens = 0
  /** Tokens computed again after a preemption. */
  recomputedTokens = 0
  generatedTokens = 0
  preemptions = 0
  missingKvCaches = 0
  abandoned = 0
  peakRunning = 0
  private readonly requests = new Map<string, RequestCounts>()

  getRequest (id: string): RequestCounts {
    let counts = this.requests.get(id)
    if (counts === undefined) {
      counts = { received: 0, started: 0, finished: 0, failed: 0, cancelled: 0 }
      this.requests.set(id, counts)
      this.forgetOldest()
    }
    return counts
  }

  describeRequests (): object {
    return Object.fromEntries(this.requests)
  }

  describe (): object {
    const { requests, ...figures } = { ...this }
    return figures
  }

  private forgetOldest (): void {
    const oldest = this.requests.keys().next().value
    if (this.requests.size > maximumRequests && oldest !== undefined) {
      this.requests.delete(oldest)
    }
  }
}
