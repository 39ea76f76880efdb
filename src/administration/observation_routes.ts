/**
 * Routes that show what the processes of the deployment are doing.
 */
import * as z from 'zod'
import * as answers from './answers.js'
import * as protocol from '../contracts/protocol.js'
import * as routes from './route.js'

const group = 'Observation'

const TimelineQuery = z.object({
  request: z.string().min(1).max(64).optional(),
  limit: z.coerce.number().int().pipe(protocol.TimelineRequest.shape.limit).default(1_000)
})

export const observationRoutes: readonly routes.Route[] = [
  routes.defineRoute({
    method: 'GET',
    path: '/admin/v1/status',
    group,
    summary: 'Returns the state of every process that answers, and the version of this process\'s configuration.',
    answer: answers.StatusList,
    handle: async call => {
      const processes = await call.services.fleet.readStatus()
      return routes.answer({ version: call.services.document.version, processes })
    }
  }),
  routes.defineRoute({
    method: 'GET',
    path: '/admin/v1/timeline',
    group,
    summary: 'Returns the events of all processes, of one request if that is given; `limit` is for each process.',
    query: TimelineQuery,
    answer: answers.TimelineAnswer,
    handle: async call => {
      const events = await call.services.fleet.readTimeline(call.query.request, call.query.limit)
      return routes.answer({ events })
    }
  })
]
