/**
 * One VM as the platform lists it.
 */
import * as z from 'zod'

export const Machine = z.object({
  id: z.string().min(1),
  /** IP address. */
  host: z.string().min(1),
  zone: z.string().min(1),
  state: z.enum(['live', 'leaving']),
  role: z.enum(['entry', 'server']),
  /** Port of the control listener of the process on the VM. */
  controlPort: z.number().int().min(1).max(65535)
}).readonly()

export type Machine = z.infer<typeof Machine>
