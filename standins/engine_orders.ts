/**
 * Orders to an engine, with fencing numbers: load a model, change the role.
 */
import * as z from 'zod'
import * as engineOptions from './engine_options.js'
import * as host from '../src/host/types.js'

export const Order = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('load_model'), fence: z.number().int().nonnegative(), model: z.string().min(1) }),
  z.object({ kind: z.literal('change_role'), fence: z.number().int().nonnegative(), role: engineOptions.EngineOptions.shape.role.unwrap() })
])
export type Order = z.infer<typeof Order>

export class Orders {
  private highestFence = 0
  private readonly applied: Order[] = []
  private refused = 0
  /** Orders and requests that were obeyed although a higher fencing number had been seen. */
  private outdatedApplied = 0
  private role: engineOptions.EngineOptions['role']
  private readonly models: Set<string>

  constructor (
    private readonly clock: host.Clock,
    options: engineOptions.EngineOptions,
    private readonly getFaults: () => engineOptions.EngineFaults
  ) {
    this.role = options.role
    this.models = new Set(options.models)
  }

  get currentRole (): engineOptions.EngineOptions['role'] {
    return this.role
  }

  listModels (): readonly string[] {
    return [...this.models]
  }

  hasModel (model: string): boolean {
    return this.models.has(model)
  }

  /** Obeys an order, or returns false if its fencing number is old and this engine looks at it. */
  tryApply (order: Order): boolean {
    if (!this.tryPass(order.fence)) {
      return false
    }
    this.applied.push(order)
    this.apply(order)
    return true
  }

  /** Takes note of a fencing number. Returns false if it is old and this engine looks at it. */
  tryPass (fence: number): boolean {
    if (fence >= this.highestFence) {
      this.highestFence = fence
      return true
    }
    if (this.getFaults().checksFencing) {
      this.refused += 1
      return false
    }
    this.outdatedApplied += 1
    return true
  }

  describe (): object {
    const { highestFence, applied, refused, outdatedApplied, role } = this
    return { highestFence, applied, refused, outdatedApplied, role, models: this.listModels() }
  }

  private apply (order: Order): void {
    switch (order.kind) {
      case 'change_role':
        this.role = order.role
        return
      case 'load_model':
        this.clock.after(this.getFaults().modelLoadMs, () => this.models.add(order.model))
    }
  }
}
