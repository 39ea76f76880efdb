/**
 * Identities: which process is meant, and in which of its lives.
 */
import * as net from 'node:net'
import * as z from 'zod'

export const Role = z.enum(['entry', 'agent'])
export type Role = z.infer<typeof Role>

/** Where a process listens. */
export const Address = z.object({
  /** IP address. */
  host: z.string().min(1).max(64),
  port: z.number().int().min(1).max(65535)
})
export type Address = z.infer<typeof Address>

/** A process of the system. The boot changes with every start, so that state of an earlier life is void. */
export const Identity = z.object({
  /** Name of the VM, unique within the deployment. */
  node: z.string().min(1).max(128),
  boot: z.string().min(1).max(64),
  role: Role,
  zone: z.string().min(1).max(64),
  region: z.string().min(1).max(64),
  /** Listener for other processes of the system, where the process can be asked back. */
  control: Address.optional()
})
export type Identity = z.infer<typeof Identity>

const highestPort = 65_535

/** Text of an address as it stands in entries of the store and in messages: `IP:PORT`. */
export const AddressText = z.string().refine(text => {
  const [host = '', port = '', ...rest] = text.split(':')
  return rest.length === 0 && net.isIPv4(host) && /^\d{1,5}$/.test(port) && Number(port) >= 1 && Number(port) <= highestPort
}, 'expected IP:PORT')

export function formatAddress (address: Address): string {
  return `${address.host}:${address.port}`
}
