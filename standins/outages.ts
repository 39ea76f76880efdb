/**
 * Outages that every stand-in can be told to have.
 */
import * as z from 'zod'
import * as webHosts from './web_host.js'

/** `refuse` answers 503, `hang` never answers, `close` closes the connection without an answer. */
export const Outage = z.enum(['none', 'refuse', 'hang', 'close'])
export type Outage = z.infer<typeof Outage>

/** Applies an outage to a request. Returns whether the request may go on. */
export function passOutage (exchange: webHosts.Exchange, outage: Outage, refuse: () => void): boolean {
  switch (outage) {
    case 'none':
      return true
    case 'refuse':
      refuse()
      return false
    case 'close':
      exchange.drop()
      return false
    case 'hang':
      return false
  }
}
