/**
 * Child processes that must not outlive this process, however it ends short of SIGKILL.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'

const children = new Set<childProcess.ChildProcess>()
const folders = new Set<string>()
let isInstalled = false

/** Kills the child when this process ends. */
export function addChild (child: childProcess.ChildProcess): void {
  install()
  children.add(child)
  child.once('exit', () => children.delete(child))
}

/** Returns how many children are alive. */
export function countChildren (): number {
  return children.size
}

/** Removes the folder when this process ends. */
export function addFolder (folder: string): void {
  install()
  folders.add(folder)
}

/** Leaves the folder in place when this process ends. */
export function keepFolder (folder: string): void {
  folders.delete(folder)
}

export function removeFolder (folder: string): void {
  folders.delete(folder)
  fs.rmSync(folder, { recursive: true, force: true })
}

function install (): void {
  if (isInstalled) {
    return
  }
  isInstalled = true
  process.on('exit', endAll)
  process.once('SIGINT', () => process.exit(130))
  process.once('SIGTERM', () => process.exit(143))
}

function endAll (): void {
  for (const child of children) {
    child.kill('SIGKILL')
  }
  for (const folder of [...folders]) {
    removeFolder(folder)
  }
}
