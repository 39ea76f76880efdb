/**
 * Every message that a user can see, with its stable code, category and HTTP status.
 * Placeholders `{0}`, `{1}` are filled by position.
 */

/** Where the cause lies: with the caller, the operator, the load, a failure, or a defect of the program. */
export type Category = 'caller' | 'operator' | 'load' | 'failure' | 'defect'

/** One row of the message table. */
export interface Diagnostic {
  readonly category: Category
  /** HTTP status towards callers and operators. */
  readonly status: number
  readonly text: string
}

function row (category: Category, status: number, text: string): Diagnostic {
  return { category, status, text }
}

export const diagnostics = {
  // Callers: identity.
  key_missing: row('caller', 401, 'The request carries no key; send "Authorization: Bearer <key>".'),
  key_unknown: row('caller', 401, 'The key is not known.'),
  key_withdrawn: row('caller', 401, 'The key has been withdrawn.'),
  workspace_forbidden: row('caller', 403, 'Workspace "{0}" may not use "{1}".'),

  // Callers: the request.
  body_malformed: row('caller', 400, 'The body is not valid JSON: {0}.'),
  body_invalid: row('caller', 400, 'The body does not match the schema: {0}.'),
  body_too_large: row('caller', 413, 'The body exceeds the limit of {0} bytes.'),
  body_too_slow: row('caller', 408, 'The body did not arrive within {0} ms.'),
  headers_invalid: row('caller', 400, 'The headers are not acceptable: {0}.'),
  headers_too_large: row('caller', 431, 'The head of the request exceeds the limit of {0} bytes.'),
  model_unknown: row('caller', 404, 'The model "{0}" does not exist.'),
  route_unknown: row('caller', 404, 'There is no route for {0} {1}.'),
  method_not_allowed: row('caller', 405, 'The method {0} is not allowed on {1}.'),
  prompt_blocked: row('caller', 503, 'The part "{0}" of the prompt has ended {1} servers; requests with it are not sent to servers.'),
  prompt_suspected: row('failure', 503, 'Servers have ended on prompts with the parts {0}; another request with them is being tried.'),
  prompt_too_long: row('caller', 400, 'The prompt has {0} tokens; the model "{1}" takes at most {2}.'),
  idempotency_key_invalid: row('caller', 400, 'The Idempotency-Key is not acceptable: {0}.'),
  idempotency_key_reused: row('caller', 422, 'The Idempotency-Key was used before with another request.'),
  idempotency_in_progress: row('caller', 409, 'The first request with this Idempotency-Key is still running.'),
  idempotency_unknown: row('failure', 409, 'The first request with this Idempotency-Key may have run; its answer is lost.'),
  caller_stalled: row('caller', 499, 'The caller did not take what was sent within {0} ms.'),
  request_timeout: row('load', 504, 'The request was not finished within {0} ms.'),
  caller_gone: row('caller', 499, 'The caller closed the connection.'),

  // Load.
  allowance_exhausted: row('load', 429, 'The workspace "{0}" has used its allowance.'),
  request_exceeds_burst: row('caller', 400, 'The request needs {0} tokens; the burst of workspace "{1}" is {2}.'),
  queue_full: row('load', 503, 'The queue of server "{0}" is full.'),
  target_unreachable: row('load', 503, 'The first token cannot be delivered within {0} ms; the predicted time is {1} ms.'),
  servers_limited: row('load', 503, 'All servers of "{0}" are at the limits of requests a second that they state.'),
  deadline_unreachable: row('load', 503, 'No server of "{0}" can answer within the {1} ms that are left; the expected time is {2} ms.'),
  share_exceeded: row('load', 429, 'The workspace "{0}" uses more than its share of the servers, which are full; the wait of {1} ms is kept for others.'),
  memory_exhausted: row('load', 503, 'Server "{0}" has no memory for the request within its deadline.'),
  caller_memory_full: row('load', 503, 'The memory for bodies of callers is in use.'),
  entry_overloaded: row('load', 503, 'This entry VM is overloaded.'),

  // Failures.
  no_server: row('failure', 503, 'No server for "{0}" can be reached.'),
  retries_exhausted: row('failure', 503, 'The retries of "{0}" that all gateways share are used up for now.'),
  server_leaving: row('failure', 503, 'Server "{0}" is leaving.'),
  server_failed: row('failure', 502, 'Server "{0}" failed: {1}.'),
  server_boot_changed: row('failure', 503, 'The agent of server "{0}" has restarted.'),
  attempt_cancelled: row('failure', 503, 'The attempt was cancelled before it started.'),
  attempt_repeated: row('failure', 409, 'The attempt "{0}" has been seen before.'),
  link_lost: row('failure', 502, 'The link to {0} was lost.'),
  link_timeout: row('failure', 504, 'No answer from {0} within {1} ms.'),
  transfer_failed: row('failure', 502, 'The KV cache could not be transferred: {0}.'),
  stream_interrupted: row('failure', 502, 'The stream ended early: {0}.'),
  store_unavailable: row('failure', 503, 'The store did not answer: {0}.'),
  store_conflict: row('failure', 409, 'The store refused the change: {0}.'),
  store_answer_lost: row('failure', 504, 'The outcome of the write to the store is unknown: {0}.'),
  machine_list_unavailable: row('failure', 503, 'The list of VMs did not answer: {0}.'),
  keeper_unavailable: row('failure', 503, 'The allowance of workspace "{0}" cannot be charged now.'),
  shutting_down: row('failure', 503, 'This VM is shutting down.'),
  not_ready: row('failure', 503, 'This VM has no configuration yet.'),

  // Links between processes.
  credential_invalid: row('operator', 401, 'The credential of {0} is not valid for this deployment.'),
  session_unknown: row('failure', 404, 'The session is not known.'),
  message_invalid: row('defect', 400, 'The message {0} does not match its schema: {1}.'),
  internal: row('defect', 500, 'Internal error: {0}.'),

  // Operators.
  operator_unknown: row('operator', 401, 'The credential is not known.'),
  section_forbidden: row('operator', 403, 'Team "{0}" may not change section "{1}".'),
  section_unknown: row('operator', 404, 'There is no section "{0}".'),
  section_invalid: row('operator', 422, 'Section "{0}" has mistakes: {1}.'),
  change_invalid: row('operator', 422, 'The change has mistakes: {0}.'),
  change_too_large: row('operator', 413, 'The change exceeds the limit of {0} {1}.'),
  change_contended: row('failure', 503, 'Too many changes are made at once; try again.'),
  operation_reused: row('operator', 422, 'The operation "{0}" was used before for another change.'),
  configuration_forbidden: row('operator', 403, 'A process of role "{0}" may not take the configuration from an agent.'),
  version_missing: row('operator', 428, 'Say which version of section "{0}" is replaced: If-Match with its version, or "0" if it does not exist.'),
  version_stale: row('operator', 409, 'Section "{0}" is at version {1}; the change was made against version {2}.'),
  command_invalid: row('operator', 400, 'The command line is not valid: {0}.'),
  explanation_off: row('operator', 403, 'The gateway explains nothing: its setting "explain" is off.'),
  explanation_invalid: row('operator', 400, 'The request cannot be explained: {0}.'),
  host_ambiguous: row('operator', 400, 'Routes of several hosts fit the path {0}; name one of {1}.'),
  workspace_unknown: row('operator', 404, 'There is no workspace "{0}".'),
  gateway_unreachable: row('failure', 503, 'The gateway at {0} does not answer: {1}.'),
  settings_invalid: row('operator', 422, '{0}: at "{1}": expected {2}, found {3}.'),
  settings_unreadable: row('operator', 422, 'The settings file "{0}" cannot be read: {1}.')
} as const satisfies Record<string, Diagnostic>

export type DiagnosticCode = keyof typeof diagnostics

/** The codes as a list, for schemas. */
export const diagnosticCodes = Object.keys(diagnostics) as [DiagnosticCode, ...DiagnosticCode[]]

/** Returns the text of a diagnostic with its placeholders filled. */
export function formatDiagnostic (code: DiagnosticCode, details: readonly (string | number)[]): string {
  return diagnostics[code].text.replace(/\{(\d)\}/g, (_, index: string) => String(details[Number(index)] ?? ''))
}
