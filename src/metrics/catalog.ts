/**
 * Every metric with its kind, labels and meaning; the operators' page is made from it.
 */

export type MetricKind = 'counter' | 'gauge' | 'histogram'

/** One row of the catalog. */
export interface Metric<Kind extends MetricKind = MetricKind, Label extends string = string> {
  readonly kind: Kind
  readonly labels: readonly Label[]
  /** Meaning, with the unit. */
  readonly help: string
}

function createMetric<Kind extends MetricKind, Label extends string> (
  kind: Kind, labels: readonly Label[], help: string
): Metric<Kind, Label> {
  return { kind, labels, help }
}

export const metrics = {
  // Entries.
  requests_total: createMetric('counter', ['workspace', 'end'], 'Requests of callers by end: answered, refused (did not run), failed, abandoned (the caller left), cut (a gateway closed the connection before the answer had left).'),
  request_failures_total: createMetric('counter', ['code'], 'Requests that were refused or failed, by code.'),
  caller_bodies_ended_total: createMetric('counter', ['reason'], 'Bodies of callers that an entry ended for lack of memory.'),
  caller_answers_cut_total: createMetric('counter', [], 'Answers that callers did not read and that an entry cut for lack of memory.'),
  caller_connections_closed_total: createMetric('counter', ['reason'], 'Connections of callers beyond the bound: idle ones closed for others, and new ones refused.'),
  retries_total: createMetric('counter', ['reason'], 'Further attempts of generations, by the code of the failure before.'),
  time_to_first_token_ms: createMetric('histogram', ['model'], 'Time from the arrival of a request to its first text, in milliseconds.'),
  time_between_tokens_ms: createMetric('histogram', ['model'], 'Time between two texts of a stream, in milliseconds.'),
  allowance_charge_ms: createMetric('histogram', [], 'Time to charge an allowance, refusals included, in milliseconds.'),
  allowance_charges_total: createMetric('counter', ['outcome'], 'Charges that this entry decided as a keeper, by outcome.'),
  allowance_settlements_lost_total: createMetric('counter', [], 'Settlements that reached no keeper; the charged bound counts as used.'),
  allowance_shards_kept: createMetric('gauge', [], 'Shards of allowances that this entry keeps.'),
  allowance_keeper_changes_total: createMetric('counter', ['change'], 'Shards acquired, extended without the store, served by this entry\'s share only, and lost.'),

  // Agents.
  agent_events_total: createMetric('counter', ['kind', 'workspace'], 'Events of the agent\'s time line by kind.'),
  agent_queue_ms: createMetric('histogram', ['workspace'], 'Time that an attempt waited in the agent\'s queue, in milliseconds.'),
  agent_running: createMetric('gauge', [], 'Attempts that the server works on.'),
  agent_queued: createMetric('gauge', [], 'Attempts in the agent\'s queue.'),
  agent_free_pieces: createMetric('gauge', [], 'Free pieces of engine memory by the agent\'s ledger.'),
  agent_promised_pieces: createMetric('gauge', [], 'Pieces of engine memory that are reserved.'),
  engine_running: createMetric('gauge', [], 'Requests that the engine reports as running.'),
  engine_waiting: createMetric('gauge', [], 'Requests that the engine reports as waiting.'),
  engine_memory_ratio: createMetric('gauge', [], 'Share of its memory that the engine reports as used, from 0 to 1.'),
  engine_cache_gaps_total: createMetric('counter', [], 'Times that cache events of the engine were missing.'),

  // Gateways.
  gateway_request_ms: createMetric('histogram', ['end'], 'Time from the arrival of a request to its final answer, by end, in milliseconds.'),
  gateway_requests_dropped_total: createMetric('counter', ['reason'], 'Requests that were read and not handled, because their callers had left or their connections were being closed.'),
  gateway_answers_lost_total: createMetric('counter', ['closed_by', 'stage'], 'Requests whose answers did not wholly leave the gateway, by the side that closed the connection first (caller, gateway) and by how far the answer got: none, begun, handed_over (whole, and not all of it written).'),
  gateway_first_event_ms: createMetric('histogram', [], 'Time from the arrival of a generation to its first event, in milliseconds.'),
  gateway_prefill_ms: createMetric('histogram', [], 'Time of a prefill, in milliseconds.'),
  gateway_sends_total: createMetric('counter', ['outcome'], 'Sends of requests to servers by outcome.'),
  gateway_retries_total: createMetric('counter', ['outcome'], 'Sends of requests after the first, by whether the retry budget allowed them (sent, refused).'),
  gateway_retry_credit: createMetric('gauge', ['service'], 'Retries of a service that this gateway may send now.'),
  gateway_room_refused_total: createMetric('counter', [], 'Reservations that decode servers refused.'),
  gateway_stall_ms: createMetric('gauge', [], 'Longest time for which the event loop stood still within the last minute, in milliseconds; 0 up to 100.'),
  gateway_headroom_servers: createMetric('gauge', ['service', 'level'], 'Decode servers that keep memory free for generations more urgent than a level.'),
  gateway_bodies_ended_total: createMetric('counter', ['reason'], 'Bodies of callers that were ended for lack of memory.'),
  gateway_bodies_unread_total: createMetric('counter', ['reason'], 'Requests that were refused by their heads, before their bodies were read.'),
  gateway_collections_total: createMetric('counter', ['kind'], 'Garbage collections: minor ones after bytes of bodies that were read, major ones because a body waited for memory of earlier ones.'),
  gateway_connections: createMetric('gauge', ['state'], 'Connections of callers: open now; since the start closed to make room for others, and refused.'),
  gateway_caller_bytes: createMetric('gauge', ['kind'], 'Bytes held for callers: large bodies and answers, small bodies, buffers not collected yet.'),
  gateway_bodies_waiting: createMetric('gauge', [], 'Bodies of callers that wait for memory.'),
  gateway_waiting: createMetric('gauge', [], 'Generations that wait for room.'),
  gateway_waiting_elsewhere: createMetric('gauge', ['service'], 'Generations that wait for decode memory at other gateways, as those told; for services with routes of different priorities.'),
  gateway_workspace_use: createMetric('gauge', ['workspace'], 'What a workspace was given over the last ten seconds or so, in parts of its limit; where services have routes of different priorities.'),
  gateway_deferrals_total: createMetric('counter', ['outcome'], 'Times that free memory was left to more urgent requests at other gateways (begun), and that it was still free afterwards (expired).'),
  gateway_refused_early_total: createMetric('counter', [], 'Generations refused shortly after their arrival because those before them need the memory until their time is over.'),
  gateway_prompts_held_total: createMetric('counter', [], 'Generations late in any case whose prompts were not read at once, so that they do not delay others.'),
  gateway_capacity_return_ms: createMetric('histogram', [], 'Time to come back that generations refused for lack of decode memory were given, in milliseconds; for services with routes of different priorities.'),
  gateway_in_flight: createMetric('gauge', [], 'Requests without a final answer.'),
  gateway_evacuated_zones: createMetric('gauge', [], 'Zones that the operator has evacuated, as far as this gateway knows.'),
  gateway_cold_servers: createMetric('gauge', [], 'Servers that count as cold, whose requests are limited.'),
  gateway_server_limits: createMetric('gauge', [], 'Servers whose answers state a limit of requests a second.'),
  gateway_limited_sends_total: createMetric('counter', [], 'Requests sent to servers with a limit in force, control calls included.'),
  gateway_recovering_servers: createMetric('gauge', [], 'Servers that have started or returned and do not carry their share of the load yet.'),
  gateway_recovery_ms: createMetric('histogram', [], 'Time from the return of a server until it carries its share of the load, in milliseconds.'),
  gateway_pace_falls_total: createMetric('counter', [], 'Reductions of the pace of recovering servers by this gateway.'),
  gateway_timed_services: createMetric('gauge', [], 'Plain services whose servers are chosen by expected time, because they report their slowness.'),
  gateway_slow_engines: createMetric('gauge', ['service'], 'Decode servers of a service that need more than one and a half times the usual time for an event.'),
  gateway_slow_servers: createMetric('gauge', [], 'Servers whose latest report says that work takes longer than usual by a tenth or more.'),
  gateway_load_reports_ignored_total: createMetric('counter', [], 'Answers with figures of load or slowness that are ignored.'),
  gateway_plain_choices_total: createMetric('counter', ['zone'], 'Servers chosen by expected time, by whether they are in the zone of the gateway (own, other).'),
  gateway_plain_late_refused_total: createMetric('counter', [], 'Calls that may run only once and were refused because no server could answer before their deadline.'),
  gateway_plain_expected_ms: createMetric('histogram', [], 'Expected time of a call at the server chosen by it, in milliseconds.'),
  gateway_plain_error_ms: createMetric('histogram', ['sign'], 'Difference between the time of an answer and the expected time, by sign (early, late), in milliseconds.'),
  gateway_prompt_parts: createMetric('gauge', ['state'], 'Parts of prompts that are suspected or blocked because servers ended on them.'),
  gateway_prompts_lost_total: createMetric('counter', ['server_ended'], 'Runs without an answer whose connection broke, by whether the server had ended.'),
  gateway_prompts_refused_total: createMetric('counter', ['reason'], 'Requests refused for a blocked or suspected part of their prompts.'),
  gateway_trials_total: createMetric('counter', [], 'Requests with suspected parts that were sent to a server on trial.'),
  gateway_orders_total: createMetric('counter', ['outcome'], 'Orders to engines by outcome.'),
  gateway_store_age_ms: createMetric('gauge', [], 'Time since the store confirmed the copy of it, in milliseconds.'),
  gateway_peers: createMetric('gauge', [], 'Other gateways heard within the last two seconds.'),

  // Both.
  configuration_version: createMetric('gauge', [], 'Version of the configuration in force.'),
  configuration_store_failures: createMetric('counter', [], 'Failed reads and broken watches of the configuration in the store.'),
  configuration_peer_reads: createMetric('counter', [], 'Configurations or changes taken from another process.'),
  link_bytes: createMetric('gauge', ['purpose', 'direction'], 'Bytes on the links between processes since the start, by purpose (control, work) and direction.'),
  link_messages: createMetric('gauge', ['purpose', 'direction'], 'Messages on the links between processes since the start, by purpose and direction.')
} as const

export type MetricName = keyof typeof metrics

/** Names of the metrics of a kind. */
type NameOf<Kind extends MetricKind> = {
  [Name in MetricName]: (typeof metrics)[Name]['kind'] extends Kind ? Name : never
}[MetricName]

export type CounterName = NameOf<'counter'>
export type GaugeName = NameOf<'gauge'>
export type HistogramName = NameOf<'histogram'>

/** The labels that a metric has, each with its value. */
export type LabelsOf<Name extends MetricName> = Readonly<Record<(typeof metrics)[Name]['labels'][number], string>>

/** Returns the help text of a metric. */
export function getHelp (name: MetricName): string {
  return metrics[name].help
}
