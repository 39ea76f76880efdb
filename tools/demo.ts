/**
 * The whole path as separate processes on loopback: a streamed completion, a call of a plain service and a call
 * with a withdrawn key, with the time line of the first.
 */
import * as fleets from './fleet.js'
import * as operators from './operator.js'

const demoPlan = {
  zones: [
    { zone: 'zone-a', entries: 1, prefill: 1, decode: 1, service: 1 },
    { zone: 'zone-b', entries: 1, prefill: 1, decode: 1 }
  ]
} as const

const maximumTokens = 16

function show (title: string, text: string): void {
  console.log(`\n== ${title}\n${text.trimEnd()}`)
}

async function main (): Promise<void> {
  const fleet = await fleets.startFleet(demoPlan, async started => {
    const operator = createOperator(started)
    await operator.addSections(started.listSections())
  })
  try {
    await present(fleet)
  } finally {
    await fleet.stop()
  }
}

function createOperator (fleet: fleets.Fleet): operators.Operator {
  const [entry] = fleet.entries
  return new operators.Operator(entry?.administrationUrl ?? '', fleet.secrets.administrator)
}

async function present (fleet: fleets.Fleet): Promise<void> {
  const operator = createOperator(fleet)
  show('A workspace', await operator.run('workspace', 'create', 'grants', '--rate', '5000', '--burst', '20000'))
  const key = await operator.ask('key', 'create', 'grants', '--id', 'first')
  const callersUrl = fleet.entries[1]?.callersUrl ?? ''
  const request = await showCompletion(callersUrl, key.key)
  await showCall(callersUrl, key.key)
  show('The key is withdrawn', await operator.run('key', 'withdraw', 'grants', 'first'))
  await showRefusal(callersUrl, key.key)
  show('Time line of the completion', await operator.run('timeline', '--request', request))
  show('All processes', await operator.run('status'))
}

function createHeaders (key: string): Record<string, string> {
  return { authorization: `Bearer ${key}`, 'content-type': 'application/json' }
}

/** Returns the request's identifier. */
async function showCompletion (callersUrl: string, key: string): Promise<string> {
  const body = { model: 'model', prompt: 'Spending of the first quarter', max_tokens: maximumTokens, stream: true }
  const response = await fetch(`${callersUrl}/v1/completions`, {
    method: 'POST', headers: createHeaders(key), body: JSON.stringify(body)
  })
  const text = await response.text()
  show('A streamed completion', text)
  expectStatus(response, 200)
  if (!text.includes('[DONE]')) {
    throw new Error('The stream did not end')
  }
  return response.headers.get('x-request-id') ?? ''
}

async function showCall (callersUrl: string, key: string): Promise<void> {
  const response = await fetch(`${callersUrl}/bookings`, {
    method: 'POST',
    headers: { ...createHeaders(key), 'idempotency-key': 'booking-1' },
    body: JSON.stringify({ slot: 'dawn' })
  })
  show('A call of a plain service', `${response.status} ${await response.text()}`)
  expectStatus(response, 201)
}

async function showRefusal (callersUrl: string, key: string): Promise<void> {
  const response = await fetch(`${callersUrl}/v1/models`, { headers: createHeaders(key) })
  show('A call with the withdrawn key', `${response.status} ${await response.text()}`)
  expectStatus(response, 401)
}

function expectStatus (response: Response, status: number): void {
  if (response.status !== status) {
    throw new Error(`Expected status ${status}, got ${response.status}`)
  }
}

await main()
process.exit(0)
