/**
 * An HTTP server that responds to each request with the next step of a script.
 */
import * as http from 'node:http'
import * as net from 'node:net'

export type Step = (response: http.ServerResponse) => void

export class ScriptedEngine {
  /** Method and URL of the requests received so far. */
  readonly requests: string[] = []
  private readonly server = http.createServer((request, response) => {
    this.requests.push(`${request.method} ${request.url}`)
    request.resume()
    this.steps.shift()?.(response)
  })

  constructor (private readonly steps: Step[]) {}

  async listen (): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    return `http://127.0.0.1:${(this.server.address() as net.AddressInfo).port}`
  }

  async close (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }
}

/** Writes tokens as server-sent events. */
export function writeTokens (response: http.ServerResponse, tokens: readonly string[]): void {
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  for (const text of tokens) {
    response.write(`data: ${JSON.stringify({ choices: [{ text, finish_reason: null }] })}\n\n`)
  }
}

/** Ends a stream with the finish reason `stop`. */
export function writeEnd (response: http.ServerResponse): void {
  response.end(`data: ${JSON.stringify({ choices: [{ text: '', finish_reason: 'stop' }] })}\n\ndata: [DONE]\n\n`)
}
