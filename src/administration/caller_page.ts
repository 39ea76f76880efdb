/**
 * The part of docs/API.md for callers.
 */
import * as settings from '../contracts/settings.js'

const limits = settings.Limits.parse({})

export const callerPart = `# Interfaces

This page is made from the code (\`npm run build && node dist/tools/write_api_page.js\`); a test fails when it is out of date.
The first part is for callers, the second, "Administration API", for operators. "Codes" at the end lists every code with its status.

# Callers

| route | |
| --- | --- |
| \`POST /v1/completions\` | \`model\`, \`prompt\` (text or tokens), \`stream\`, \`stream_options.include_usage\`, \`max_tokens\`, \`temperature\`, \`top_p\`, \`stop\`, \`seed\`; \`n\` is 1 |
| \`POST /v1/chat/completions\` | the same with \`messages\` for \`prompt\`; also \`max_completion_tokens\` |
| \`GET /v1/models\` | the models that the workspace may use |
| others | the routes of plain services, by longest prefix, as configured |

- **Key**: \`Authorization: Bearer <key>\`, in no other header, nor in the target or body. Routes marked open need none; a key
  that comes all the same must be good. No backend server sees the key.
- **Request's name**: every answer has \`x-request-id\`; operators find the request's time line by it.
- **Streams**: server-sent events, at the end \`data: [DONE]\`. A stream that fails ends with \`event: error\` and the error's body
  instead.
- **Errors**: \`{"error": {"message", "type", "code", "verdict"}}\`; \`type\` is the category of the code with \`_error\`.
- **Verdicts**: \`not_run\`: it has not run and never will, repeating is safe. \`may_have_run\`: not known. \`ran\`: it has run, and
  its answer is lost or incomplete.
- **\`Retry-After\`**: whole seconds, at least 1, where a time is known: from the queue, the allowance, or an outage.
- **Limits** (standard values): body ${limits.bodyBytes} bytes within ${limits.bodyTimeoutMs} ms; ${limits.headerCount} headers, ${limits.headerBytes} bytes in all; a request
  ends after ${limits.requestTimeoutMs} ms; a caller that takes nothing for ${limits.stalledCallerMs} ms, or has more than ${limits.stalledCallerBytes} bytes
  waiting, is cut.
- **Allowance**: a generation is charged its prompt and its largest output at first, and what was used in the end. One that
  needs more than the burst can never be served (\`request_exceeds_burst\`).
- **A withdrawn key**: new calls are refused with \`key_withdrawn\` (401), also on open connections. Requests under way are cut
  within 500 ms after the entry has the change; a stream ends with \`event: error\`.

## \`Idempotency-Key\`

On routes of plain services that may not be repeated: 1 to 255 visible ASCII characters, unique within workspace and route, kept
for at least 24 hours, through any entry. Without it such a call still runs at most once, but a caller that lost the answer
cannot find out.

| a call with a key used before | answer |
| --- | --- |
| the first was answered | its answer with \`idempotency-replayed: true\`; one over 65,536 characters in base64 is not kept: \`idempotency_unknown\`, \`ran\` |
| the first is under way | \`idempotency_in_progress\` (409), \`may_have_run\`, with \`Retry-After\` |
| what became of the first is not known | \`idempotency_unknown\` (409), \`may_have_run\` |
| the first has not run and never will | runs now |
| another method, target, content type or body | \`idempotency_key_reused\` (422), \`not_run\` |
| the store is down | \`store_unavailable\` (503), \`not_run\` |
`
