/**
 * Remembers every header value and path that a stand-in received, so that a test can prove what never reached it.
 */
import * as webHosts from './web_host.js'

/** Different values kept of one header; above it the header counts as truncated. */
const maximumValues = 20_000

export class HeaderLog {
  private readonly values = new Map<string, Set<string>>()
  private readonly truncated = new Set<string>()

  record (exchange: webHosts.Exchange): void {
    this.add(':path', exchange.request.url ?? '')
    const raw = exchange.request.rawHeaders
    for (let index = 0; index + 1 < raw.length; index += 2) {
      this.add((raw[index] as string).toLowerCase(), raw[index + 1] as string)
    }
  }

  describe (): object {
    const headers: Record<string, string[]> = {}
    for (const [name, values] of this.values) {
      headers[name] = [...values]
    }
    return { headers, truncated: [...this.truncated] }
  }

  private add (name: string, value: string): void {
    let values = this.values.get(name)
    if (values === undefined) {
      values = new Set()
      this.values.set(name, values)
    }
    if (values.size < maximumValues) {
      values.add(value)
    } else if (!values.has(value)) {
      this.truncated.add(name)
    }
  }
}
