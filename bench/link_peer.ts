/**
 * The listening side of the link benchmarks, in a process of its own. Prints its address as JSON.
 */
import * as failures from '../src/contracts/failure.js'
import * as listeners from '../src/links/listener.js'
import * as support from './support/link_context.js'
import * as types from '../src/links/types.js'

/** Sends a frame of one token to each session, as often as the parent asks. */
class FrameSource extends types.SessionObserver {
  readonly sessions = new Set<types.Session>()

  override opened (session: types.Session): void {
    this.sessions.add(session)
  }
}

const source = new FrameSource()
const handlers: types.Handlers = {
  'session.heartbeat': async () => failures.succeed({ load: support.emptyLoad }),
  'work.cancel': async () => failures.succeed({ verdict: 'not_run', state: 'unknown' })
}
const listener = new listeners.Listener(support.createContext('agent'), handlers, source)
const address = await listener.listen({ host: '127.0.0.1', port: 0 })
process.send?.({ address })
process.on('message', (message: { readonly frames: number }) => {
  sendFrames(message.frames)
  process.send?.({ sent: message.frames, usage: process.cpuUsage() })
})
process.on('disconnect', () => process.exit(0))

function sendFrames (count: number): void {
  const sessions = [...source.sessions].filter(session => session.isOpen)
  for (let offset = 0; offset < count; offset += 1) {
    const session = sessions[offset % sessions.length]
    const frame = { kind: 'text', offset, text: ' token', tokens: 1 } as const
    session?.notify('work.frames', { attempts: [{ request: 'r', attempt: 'a', frames: [frame] }] })
  }
}
