/**
 * The modules that a compiled module loads by static imports, directly or not.
 */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'

const sources = url.fileURLToPath(new URL('../../src/', import.meta.url))
const importPattern = /^(?:import|export)\s+(?:[\w*{][^;'"=()]*\sfrom\s+)?['"]([^'"]+)['"]/gm

/** Returns what a module of `src` loads: modules of `src` by path without extension, and packages by name. */
export function listLoaded (entryPoint: string): readonly string[] {
  const loaded = new Set<string>()
  const waiting = [entryPoint]
  for (let name = waiting.pop(); name !== undefined; name = waiting.pop()) {
    if (loaded.has(name)) {
      continue
    }
    loaded.add(name)
    for (const target of listImports(name)) {
      if (target.startsWith('.')) {
        waiting.push(path.join(path.dirname(name), target).replace(/\.js$/, ''))
      } else {
        loaded.add(target)
      }
    }
  }
  return [...loaded].sort()
}

/** Returns what a module of `src` imports itself, in the order of its imports. */
export function listImports (name: string): string[] {
  const code = fs.readFileSync(path.join(sources, `${name}.js`), 'utf8')
  return [...code.matchAll(importPattern)].map(match => match[1] ?? '')
}
