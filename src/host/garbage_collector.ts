/**
 * Collects garbage when the program knows that buffers are waiting to be freed. V8 itself starts a collection for buffers when they have grown
 * by 64 MB, which is more than a small VM has.
 */
import * as v8 from 'node:v8'
import * as vm from 'node:vm'

/** `minor`: young objects only, such as the pieces of a body, in about a millisecond; `major`: all, in some ten milliseconds. */
export type CollectionKind = 'minor' | 'major'

let collect: ((options?: { readonly type: 'minor' }) => void) | undefined

export function collectGarbage (kind: CollectionKind): void {
  if (collect === undefined) {
    v8.setFlagsFromString('--expose-gc')
    collect = vm.runInNewContext('gc') as typeof collect
  }
  if (kind === 'minor') {
    collect?.({ type: 'minor' })
  } else {
    // Node.js 20 makes a minor collection of any call with an argument, also of `type: 'major'`.
    collect?.()
  }
}

/** Keeps a process with little memory small, at the price of more frequent collections and slower WebAssembly. To be called at the start. */
export function limitMemory (): void {
  // Keeps the young generation at its first size, 1 MiB for each half, instead of doubling it up to 16 MiB.
  v8.setFlagsFromString('--semi-space-growth-factor=1')
  // Growth of the old generation between two full collections, in percent of what survived the first.
  v8.setFlagsFromString('--heap-growing-percent=50')
  // Frees buffers within the collection. On a busy machine the thread that frees them otherwise runs late, while their memory counts as free.
  v8.setFlagsFromString('--no-concurrent-array-buffer-sweeping')
  // V8 takes 30 MB for a moment when it optimises the HTTP client's parser, which is WebAssembly.
  v8.setFlagsFromString('--liftoff-only')
}
