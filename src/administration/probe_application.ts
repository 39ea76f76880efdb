/**
 * The platform's probes and the metrics as an h3 application: all that an agent serves over HTTP.
 */
import * as h3 from 'h3/node'
import * as failures from '../contracts/failure.js'
import * as openRouteTable from './open_route.js'
import * as responses from './response.js'

/** State of this process, for the platform's probes and for Prometheus. */
export abstract class Probes {
  abstract isHealthy (): boolean
  abstract isReady (): boolean
  /** Returns the metrics in the text format of Prometheus. */
  abstract renderMetrics (): Promise<string>
}

/** Creates an application of the probes and metrics alone, as an agent has. */
export function createProbeApplication (probes: Probes): h3.H3 {
  const app = new h3.H3({ silent: true })
  addProbes(app, probes)
  app.all('/**', event => responses.refuse(failures.createFailure('not_run', 'route_unknown', [event.req.method, event.url.pathname])))
  return app
}

/** Adds the routes of the probes and the metrics. */
export function addProbes (app: h3.H3, probes: Probes): void {
  const { health, readiness, metrics } = openRouteTable.openRoutes
  app.get(health.path, () => answerProbe(probes.isHealthy()))
  app.get(readiness.path, () => answerProbe(probes.isReady()))
  app.get(metrics.path, async () => new Response(await probes.renderMetrics(), {
    headers: { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' }
  }))
}

function answerProbe (isGood: boolean): Response {
  return new Response(isGood ? 'ok\n' : 'unavailable\n', { status: isGood ? 200 : 503, headers: { 'content-type': 'text/plain' } })
}
