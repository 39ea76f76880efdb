/**
 * Waiting for other processes.
 */
import * as crypto from 'node:crypto'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as undici from 'undici'

/** Pause between two looks, in milliseconds. */
const pollMs = 25
/** Longest wait for one answer, in milliseconds. */
const answerTimeoutMs = 1_000

/** Asks the URL until it answers 200. `check` throws when waiting has become pointless. */
export async function waitForUrl (url: string, deadlineMs: number, check: () => void): Promise<void> {
  let questions = 0
  for (;;) {
    const outcome = await ask(url)
    questions += 1
    if (outcome === '200') {
      return
    }
    check()
    if (performance.now() > deadlineMs) {
      throw new Error(`${url} did not answer 200 in time; the last of ${questions} questions ended with: ${outcome}`)
    }
    await timers.setTimeout(pollMs)
  }
}

/** Ports below those that outgoing connections get by default: one of these takes a port between the choice and the start of its process. */
const lowestPort = 10_000
const highestPort = 32_767
const portTries = 100

/** Returns a port that is free now on the address, and that no outgoing connection takes meanwhile. */
export async function findFreePort (host: string): Promise<number> {
  for (let tries = 0; tries < portTries; tries += 1) {
    const port = crypto.randomInt(lowestPort, highestPort + 1)
    if (await isFree(host, port)) {
      return port
    }
  }
  throw new Error(`no port from ${lowestPort} to ${highestPort} is free on ${host}`)
}

function isFree (host: string, port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = net.createServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** Runs the action for each item, at most `width` at a time. */
export async function runBounded<Item> (
  items: readonly Item[], width: number, action: (item: Item) => Promise<void>
): Promise<void> {
  const rest = [...items]
  const work = async (): Promise<void> => {
    for (let item = rest.shift(); item !== undefined; item = rest.shift()) {
      await action(item)
    }
  }
  await Promise.all(Array.from({ length: width }, work))
}

/** Returns the status of the answer, or why there is none. */
export async function ask (url: string): Promise<string> {
  try {
    const response = await undici.request(url, { signal: AbortSignal.timeout(answerTimeoutMs) })
    await response.body.dump()
    return String(response.statusCode)
  } catch (error) {
    return String(error)
  }
}
