/**
 * What each code means for the person on call.
 */
import * as diagnosticTable from '../src/contracts/diagnostics.js'

export const advice: Readonly<Record<diagnosticTable.DiagnosticCode, string>> = {
  key_missing: 'Nothing; the caller sends no key.',
  key_unknown: 'If a key was just given: compare versions by `mulberryflow status`.',
  key_withdrawn: 'Nothing; `mulberryflow key list` shows when it was withdrawn.',
  workspace_forbidden: 'If wrongly refused, change the workspace\'s models or services.',
  body_malformed: 'Nothing.',
  body_invalid: 'Nothing; the message names the mistake.',
  body_too_large: 'If needed, raise `limits.bodyBytes`.',
  headers_too_large: 'Send fewer or shorter headers, or raise the limit of the routing document.',
  body_too_slow: 'Many at once: the network before the entry.',
  headers_invalid: 'Nothing; the message names the mistake.',
  model_unknown: 'If it should exist: `mulberryflow model list`.',
  route_unknown: 'If it should exist: `mulberryflow service list`.',
  method_not_allowed: 'If wrongly refused, change the route\'s methods.',
  prompt_blocked: 'Find the part in the lines `part of prompts blocked`; its callers must change the prompt, or the engine needs a fix.',
  prompt_suspected: 'Nothing if brief; the lines `part of prompts` say what is suspected and why.',
  prompt_too_long: 'Nothing; the model\'s limit is in its section.',
  idempotency_key_invalid: 'Nothing.',
  idempotency_key_reused: 'Nothing; the caller uses one key for two requests.',
  idempotency_in_progress: 'Nothing; many: the service is slow.',
  idempotency_unknown: 'The caller must find out by other means whether it ran; look for what failed at that time.',
  caller_stalled: 'Nothing; many at once: the network to the callers.',
  request_timeout: 'Look at its time line: queue, server or network.',
  caller_gone: 'Nothing.',
  allowance_exhausted: 'Nothing, or a larger allowance.',
  request_exceeds_burst: 'If the workspace should send such requests, raise its burst.',
  queue_full: 'Too little capacity, or a server that is stuck.',
  target_unreachable: 'Too little capacity for the model\'s targets.',
  servers_limited: 'The servers state how many requests a second they take: `server limit in force` and `servers at their limits` in the log. Ask their owners why.',
  deadline_unreachable: 'Too few servers for the calls of the service, or servers that are slow: `call refused for its deadline` in the log.',
  share_exceeded: 'The workspace sends more than its share while the servers are full: it is refused first. Nothing to do, unless its allowance is too small.',
  memory_exhausted: 'Too little memory for decoding: add decode servers.',
  caller_memory_full: 'Callers send more large bodies at once than the VM has memory for: larger VMs, or `limits.caller_memory_part`.',
  entry_overloaded: 'Too few entries, or requests that do not end: `limits.requestsInFlight`.',
  retries_exhausted: 'Servers fail or refuse more requests than the shared budget allows to send again: `sent` and `stream ended` lines name them.',
  no_server: 'No agent that serves it answers: `mulberryflow status`, `mulberryflow server list`.',
  server_leaving: 'Nothing; another server is chosen.',
  server_failed: 'Look at that server.',
  server_boot_changed: 'The agent has restarted; often: why?',
  attempt_cancelled: 'Nothing.',
  attempt_repeated: 'Nothing; a duplicate was kept from running.',
  link_lost: 'Look at the process named and the network.',
  link_timeout: 'Look at the process named: it is slow or frozen.',
  transfer_failed: 'Look at the links between prefill and decode servers.',
  stream_interrupted: 'Look at the time line of the request.',
  store_unavailable: 'The store; see "Store outage".',
  store_conflict: 'Nothing; try again.',
  store_answer_lost: 'Repeat with the same `--operation`; look at the store.',
  machine_list_unavailable: 'The platform\'s list of VMs; the last list stays in use.',
  keeper_unavailable: 'Entries or store: the workspace\'s shard has no keeper.',
  shutting_down: 'Nothing; if the balancer still sends: `timing.balancerLagMs`.',
  not_ready: 'The process has no configuration: store and other entries.',
  credential_invalid: 'A process with another deployment credential.',
  session_unknown: 'Nothing; the link opens a new session.',
  message_invalid: 'A defect, or releases that do not fit: keep the log.',
  internal: 'A defect: keep log and time line.',
  operator_unknown: 'A wrong or deleted credential of a team or the administrators.',
  section_forbidden: 'The team\'s patterns do not cover the section.',
  section_unknown: 'Nothing; `mulberryflow config list` shows all.',
  section_invalid: 'Nothing; every mistake is listed.',
  change_invalid: 'Nothing; every mistake is listed.',
  change_too_large: 'Split the change.',
  change_contended: 'Try again; if it stays, the store may have gone back: see CONFIGURATION.md.',
  operation_reused: 'Take another operation.',
  configuration_forbidden: 'A defect, or a process with the wrong role.',
  version_missing: 'Name the version that is replaced.',
  version_stale: 'Read again, and make the change anew.',
  command_invalid: 'Nothing; see `--help`.',
  settings_invalid: 'Mend the settings file.',
  settings_unreadable: 'Path, rights or YAML of the settings file.'
}

/** Lists the codes with their status and the advice. */
export function listAdvice (): readonly string[] {
  const rows = Object.entries(advice).map(([code, text]) => {
    const { status, category } = diagnosticTable.diagnostics[code as diagnosticTable.DiagnosticCode]
    return `| \`${code}\` | ${status} | ${category} | ${text} |`
  })
  return ['| code | status | category | for the person on call |', '| --- | --- | --- | --- |', ...rows]
}
