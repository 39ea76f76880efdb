/**
 * Answers of an engine to one caller: a stream of server-sent events from any token on, or one whole body.
 */
import * as engineMessages from './engine_messages.js'
import * as engineRequests from './engine_request.js'
import * as webHosts from './web_host.js'

/** Writes a request's progress to one caller. */
export abstract class Answer {
  private readonly stopListening: () => void

  /** `isFrozen` tells whether nothing may be written now; `detached` runs once when the caller's connection closes. */
  constructor (
    protected readonly exchange: webHosts.Exchange,
    protected readonly request: engineRequests.EngineRequest,
    private readonly isFrozen: () => boolean,
    detached: () => void
  ) {
    this.stopListening = request.listen(() => this.update())
    exchange.response.once('close', () => {
      this.stopListening()
      detached()
    })
  }

  /** Writes what is new. */
  update (): void {
    if (!this.isFrozen() && !this.exchange.response.writableEnded) {
      this.write()
    }
  }

  protected abstract write (): void

  protected sendError (error: engineRequests.EngineError): void {
    this.exchange.sendJson(error.status, engineMessages.createErrorBody(error))
  }
}

/** Answers with one body at the end. */
export class WholeAnswer extends Answer {
  protected override write (): void {
    const { request } = this
    const error = getError(request)
    if (error !== undefined) {
      this.sendError(error)
      return
    }
    if (request.phase !== 'finished') {
      return
    }
    let text = ''
    for (let index = 0; index < request.generated; index += 1) {
      text += request.getToken(index)
    }
    this.exchange.sendJson(200, {
      ...engineMessages.createHead(request),
      choices: [engineMessages.createChoice(text, request.finishReason)],
      usage: engineMessages.createUsage(request),
      ...engineMessages.createTransferPart(request)
    })
  }
}

/** Answers with one event a token; the number of the token is the event's identifier. */
export class StreamAnswer extends Answer {
  private readonly chunkStart: string
  private sent: number
  private isBlocked = false

  /** `offset` is the first token that is sent. */
  constructor (
    exchange: webHosts.Exchange,
    request: engineRequests.EngineRequest,
    isFrozen: () => boolean,
    detached: () => void,
    offset: number
  ) {
    super(exchange, request, isFrozen, detached)
    this.sent = offset
    this.chunkStart = JSON.stringify(engineMessages.createHead(request)).slice(0, -1)
  }

  protected override write (): void {
    const { response } = this.exchange
    const error = getError(this.request)
    const hasTokens = this.sent < this.request.generated
    if (this.isBlocked || (!hasTokens && !this.request.isOver)) {
      return
    }
    if (error !== undefined && !hasTokens && !response.headersSent) {
      this.sendError(error)
      return
    }
    if (!response.headersSent) {
      response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    }
    const text = this.takeTokens() + this.createEnd(error)
    this.isBlocked = !response.write(text)
    this.goOn()
  }

  private goOn (): void {
    const { response } = this.exchange
    if (this.request.isOver) {
      response.end()
    } else if (this.isBlocked) {
      response.once('drain', () => {
        this.isBlocked = false
        this.update()
      })
    }
  }

  private takeTokens (): string {
    let text = ''
    for (; this.sent < this.request.generated; this.sent += 1) {
      const token = this.request.getToken(this.sent)
      text += `id: ${this.sent}\ndata: ${this.chunkStart},"choices":[{"index":0,"text":"${token}","logprobs":null,"finish_reason":null}]}\n\n`
    }
    return text
  }

  private createEnd (error: engineRequests.EngineError | undefined): string {
    if (error !== undefined) {
      return `data: ${JSON.stringify(engineMessages.createErrorBody(error))}\n\n`
    }
    if (!this.request.isOver) {
      return ''
    }
    const head = engineMessages.createHead(this.request)
    const finish = { ...head, choices: [engineMessages.createChoice('', this.request.finishReason)] }
    const usage = {
      ...head,
      choices: [],
      usage: engineMessages.createUsage(this.request),
      ...engineMessages.createTransferPart(this.request)
    }
    return `data: ${JSON.stringify(finish)}\n\ndata: ${JSON.stringify(usage)}\n\ndata: [DONE]\n\n`
  }
}

function getError (request: engineRequests.EngineRequest): engineRequests.EngineError | undefined {
  if (request.phase === 'cancelled') {
    return { status: 499, code: 'cancelled', message: 'The request was cancelled.' }
  }
  return request.error
}
