/**
 * Reads the platform's list of VMs over HTTP: `GET <url>/vms`.
 */
import * as undici from 'undici'
import * as z from 'zod'
import * as failures from '../contracts/failure.js'
import * as host from './types.js'
import * as machines from '../contracts/machine.js'

/** Size limit of the list. */
const maximumListBytes = 4_194_304

export class HttpMachineList extends host.MachineList {
  private readonly agent = new undici.Agent({ headersTimeout: 0, bodyTimeout: 0, maxResponseSize: maximumListBytes })

  /** `timeoutMs` is the time-out of a read. */
  constructor (
    private readonly url: string, private readonly timeoutMs: number, private readonly clock: host.Clock
  ) {
    super()
  }

  override async read (): Promise<failures.Result<readonly machines.Machine[]>> {
    const controller = new AbortController()
    const stopTimer = this.clock.after(this.timeoutMs, () => controller.abort())
    try {
      const answer = await undici.request(`${this.url.replace(/\/$/, '')}/vms`, {
        dispatcher: this.agent, signal: controller.signal
      })
      const text = await answer.body.text()
      if (answer.statusCode !== 200) {
        return failUnavailable(`status ${answer.statusCode}`)
      }
      const parsed = z.array(machines.Machine).safeParse(JSON.parse(text))
      return parsed.success ? failures.succeed(parsed.data) : failUnavailable(z.prettifyError(parsed.error))
    } catch (error) {
      return failUnavailable(error instanceof Error ? error.message : String(error))
    } finally {
      stopTimer()
    }
  }

  async close (): Promise<void> {
    await this.agent.destroy()
  }
}

function failUnavailable<Value> (reason: string): failures.Result<Value> {
  return failures.fail(failures.createFailure('not_run', 'machine_list_unavailable', [reason]))
}
