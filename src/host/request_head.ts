/**
 * Checks of a request's head that Node.js would answer ahead of the requests before it on the connection.
 */
import * as http from 'node:http'
import type * as net from 'node:net'

const badRequestStatus = 400
const expectationFailedStatus = 417
const knownExpectation = /(?:^|\W)100-continue(?:$|\W)/i

/** Options of a server that leaves the checks to its listener. */
export const uncheckedHead: http.ServerOptions = { requireHostHeader: false }

/** Receives all requests of a server, those with an unknown expectation included. */
export function onRequest (server: net.Server, listener: http.RequestListener): void {
  server.on('request', listener)
  server.on('checkExpectation', listener)
}

/** Answers a request whose head has no host or an unknown expectation; returns the status, or undefined if the head is valid. */
export function refuseInvalidHead (request: http.IncomingMessage, response: http.ServerResponse): number | undefined {
  const { expect, host } = request.headers
  if (request.httpVersion !== '1.1') {
    return undefined
  }
  if (host === undefined) {
    response.writeHead(badRequestStatus, { 'Content-Length': '0', Connection: 'close' }).end()
    return badRequestStatus
  }
  if (expect !== undefined && !knownExpectation.test(expect)) {
    response.writeHead(expectationFailedStatus, { 'Content-Length': '0' }).end()
    return expectationFailedStatus
  }
  return undefined
}
