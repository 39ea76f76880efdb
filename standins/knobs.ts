/**
 * Fault knobs of a stand-in: one schema, set at start and changed at run time over `/_faults`.
 */
import * as z from 'zod'
import * as webHosts from './web_host.js'

export class Knobs<Schema extends z.ZodType> {
  private values: z.infer<Schema>

  constructor (private readonly schema: Schema, initial: z.input<Schema>) {
    this.values = schema.parse(initial)
  }

  get current (): z.infer<Schema> {
    return this.values
  }

  /** Changes some knobs. Returns what is wrong, changing nothing, or `undefined`. */
  set (changes: unknown): string | undefined {
    const parsed = this.schema.safeParse({ ...this.values as object, ...changes as object })
    if (!parsed.success) {
      return z.prettifyError(parsed.error)
    }
    this.values = parsed.data
    return undefined
  }

  /** Takes one from a knob that counts what is still to happen. Returns false when nothing is left. */
  tryTake (counter: keyof z.infer<Schema> & string): boolean {
    const left = this.values[counter]
    if (typeof left !== 'number' || left === 0) {
      return false
    }
    this.set({ [counter]: left - 1 })
    return true
  }

  /** Adds `GET` and `POST /_faults`. `changed` runs after each change. */
  addRoutes (web: webHosts.WebHost, changed: () => void = () => {}): void {
    web.route('GET', '/_faults', exchange => exchange.sendJson(200, this.values))
    web.route('POST', '/_faults', exchange => {
      const mistake = this.set(exchange.parseBody())
      if (mistake !== undefined) {
        exchange.sendJson(400, { error: mistake })
        return
      }
      changed()
      exchange.sendJson(200, this.values)
    })
  }
}
