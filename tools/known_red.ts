/**
 * The tests that are known to fail, from KNOWN-RED.txt. An entry begins with `- ` and the full name of a test in backquotes.
 */
import * as fs from 'node:fs'

export function readKnownRed (): ReadonlySet<string> {
  const text = fs.existsSync('KNOWN-RED.txt') ? fs.readFileSync('KNOWN-RED.txt', 'utf8') : ''
  return new Set([...text.matchAll(/^- `([^`]+)`/gm)].map(match => match[1] as string))
}
