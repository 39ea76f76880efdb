/**
 * The twelve points that must always hold, with what proves each.
 */

/** A test by its file below `tests/`, without ending, and the beginning of its full name. */
export interface ProofTest {
  readonly file: string
  readonly name: string
}

export interface Point {
  readonly title: string
  readonly mechanism: string
  readonly faults: string
  readonly tests: readonly ProofTest[]
  /** Properties of the models, as `npm run check:model` prints them. */
  readonly properties: readonly string[]
  /** How its tests and properties were seen to fail with the mechanism taken out. */
  readonly seenToFail: string
  /** What the tests and the model do not show. */
  readonly unproved: string
}

function list (file: string, suite: string, names: readonly string[]): ProofTest[] {
  return names.map(name => ({ file: `faults/${file}`, name: `${suite} > ${name}` }))
}

const path = (...names: readonly string[]): ProofTest[] => list('path', 'The whole path', names)
const callers = (...names: readonly string[]): ProofTest[] => list('callers', 'Callers that leave', names)
const crashes = (...names: readonly string[]): ProofTest[] => list('crashes', 'Processes that die or freeze', names)
const links = (...names: readonly string[]): ProofTest[] => list('links', 'Connections between entries and agents', names)
const store = (...names: readonly string[]): ProofTest[] => list('store', 'The platform\'s store', names)
const retries = (...names: readonly string[]): ProofTest[] => list('retries', 'Calls that may not be repeated', names)
const drains = (...names: readonly string[]): ProofTest[] => list('drains', 'Graceful shutdown', names)
const release = (...names: readonly string[]): ProofTest[] => list('release', 'Memory of callers that are gone', names)
const pairs = (...names: readonly string[]): ProofTest[] => list('pairs', 'Two faults at once', names)
const allowances = (...names: readonly string[]): ProofTest[] => list('allowances', 'Rate and burst over all entries', names)

export const points: readonly Point[] = [
  {
    title: 'No engine memory stays held by requests whose callers are gone',
    mechanism: 'Cancels repeated until the agent confirms them; tombstones; the session lease of a dead or frozen entry',
    faults: 'callers leaving in the queue, in prefill, in a stalled transfer and in decode; an entry killed or frozen; connections cut or silent; in pairs: with the store down, with callers that leave, two entries frozen',
    tests: [
      ...callers('during prefill', 'in the queue', 'during a stalled transfer', 'during decode', 'all at once'),
      ...crashes('an entry killed', 'an entry frozen past its session lease'),
      ...links('that stay cut', 'that are silent for callers'),
      ...release('is free 2 s after their entry was killed', 'is free 2 s after their entry froze', 'is free 2 s after they left over'),
      ...pairs('the store down and an entry killed', 'silent connections and callers', 'one entry frozen after the other')
    ],
    properties: ['no memory held after the entry left'],
    seenToFail: 'seeded `NO_EXPIRY`; commit f12329d (with a lease of 4 s memory was free after 4.2 to 4.9 s); trial: expired sessions not told to the gate, held for 8.4 s after an entry was killed',
    unproved: 'How soon memory is free after the death of an agent'
  },
  {
    title: 'No request is answered twice',
    mechanism: 'Frames carry request, attempt and offset; what does not fit is dropped',
    faults: 'connections reset and silent, once and twice; an agent, an engine or an entry killed; an entry frozen; two entries frozen one after the other',
    tests: [
      ...links('that are reset', 'that fall silent for good', 'that fall silent twice'),
      ...crashes('an agent killed', 'an engine killed', 'an entry frozen past its session lease'),
      ...pairs('one entry frozen after the other')
    ],
    properties: ['no second answer', 'no attempt starts twice'],
    seenToFail: 'seeded `ANSWER_AGAIN`, `NO_BOOT_CHECK`, `GUESSED` and `NO_REPEAT_CHECK`; commit 6459a50 (old frames taken: generated faults of requests)',
    unproved: 'Frames duplicated by the network below TCP'
  },
  {
    title: 'Apart from open routes, a request runs only for the workspace whose key came with it',
    mechanism: 'The entry finds the workspace by the key\'s hash; agents queue, charge and count by that workspace',
    faults: 'two workspaces at once through both entries; no key; a withdrawn key',
    tests: path('calls a plain service once', 'gives each of two workspaces', 'refuses a withdrawn key'),
    properties: [],
    seenToFail: 'trial: a call without a key taken for a workspace\'s, answered 201 in place of 401 (calls a plain service once)',
    unproved: 'A process that holds the deployment\'s credential can name any workspace'
  },
  {
    title: 'No backend server ever sees a caller\'s key',
    mechanism: 'The entry removes the key before anything is planned; agents pass on a fixed list of headers',
    faults: 'counted at the end of every fault test from all headers that the stand-ins recorded',
    tests: [...path('streams the whole text', 'calls a plain service once'), ...links('that are cut in the middle of a call')],
    properties: [],
    seenToFail: 'trial: the key neither removed by the entry nor withheld by the agent, one key seen (calls a plain service once)',
    unproved: 'A key that the caller puts into the body of its request'
  },
  {
    title: 'A withdrawn key stops working within seconds',
    mechanism: 'Entries watch the store, tell each other versions, and end the streams of a withdrawn key',
    faults: 'streams under way; withdrawal just before a store outage; an entry replaced during it; stale reads',
    tests: [...path('refuses a withdrawn key'), ...store('that goes down just after a key was withdrawn')],
    properties: ['a version never goes back', 'not ready with an old version'],
    seenToFail: 'seeded `TAKE_LOWER` and `STALE_READY`; trial: the mark of withdrawal not read, the key still good after 10 s (refuses a withdrawn key)',
    unproved: 'An entry cut off from the store and from all peers'
  },
  {
    title: 'No workspace gets more than its rate and burst across all VMs',
    mechanism: 'One keeper per shard under a lease, with promises of its successors while the store is down',
    faults: 'a burst through both entries; the store down; a keeper frozen past its lease, or killed while the store is down',
    tests: allowances('hold for a burst', 'hold while the store is down', 'hold when entry-a-1', 'hold when entry-b-1', 'hold when an entry is killed', 'refuse nobody inside the rate'),
    properties: ['never two rights, 2 members', 'never two rights, 3 members', 'never two rights, finer time', 'grants are accepted in the order of terms'],
    seenToFail: 'seeded `FROM_ANSWER`, `NO_PROMISE`, `NO_GRACE`, `WHILE_ACQUIRING`, `ASSUME_REFUSED`, `NO_COMPARE`, `ANY_PROMISE`, `ANY_BOOT` and `NO_OUTWAIT`; commits 2632ac8 (refunds) and a6000a5 (restart of a successor)',
    unproved: 'Clocks whose rates differ by more than the assumed drift; that more than its share of 5 % of a workspace\'s rate and burst is served, and for more than 10 minutes, when a keeper or a successor dies while the store is down'
  },
  {
    title: 'A caller gets the whole answer to its own request',
    mechanism: 'Offsets, resumption by a session that outlives its connection, an explicit error when the answer cannot be whole',
    faults: 'connections reset and silent; an agent and an engine killed; two workspaces at once; in pairs: the store down with an entry or a prefill server killed, silent connections with callers that leave',
    tests: [
      ...path('streams the whole text', 'answers whole and as chat', 'gives each of two workspaces'),
      ...links('that are reset', 'that fall silent for good', 'that fall silent twice', 'that fell silent while idle', 'that fell silent just after their use'),
      ...crashes('an agent killed', 'an engine killed'),
      ...pairs('the store down and an entry killed', 'silent connections and callers', 'a prefill server killed and the store down')
    ],
    properties: ['no second answer'],
    seenToFail: 'seeded `ANSWER_AGAIN`; commits 97d974d and d8ba098 (silent while idle); trial: gaps in the offsets taken and no frames asked for on a new connection, four wrong texts (that are reset)',
    unproved: 'A connection that falls silent less than a heartbeat\'s period after its last use delays the first request by up to 0.9 s, which a short target may not allow. Whether a non-streamed answer survives the death of its engine: it is refused'
  },
  {
    title: 'A refusal that says "not run" is true',
    mechanism: 'Only the agent decides not_run; it keeps a tombstone, and refuses what is addressed to an earlier boot',
    faults: 'calls cut in the middle; servers that lose answers; an agent or an engine killed; counted at the end of every fault test',
    tests: [
      ...links('that are cut in the middle of a call'),
      ...retries('run once when the server loses', 'run at most once when the store'),
      ...crashes('an agent killed', 'an engine killed')
    ],
    properties: ['no start after the verdict not_run'],
    seenToFail: 'seeded `NO_TOMBSTONE`; commits b603f76 (tombstone, boot and repeats at the gate) and 6459a50 (a lost call told as not run)',
    unproved: 'For completions only decode work counts as run, not a prefill that was thrown away'
  },
  {
    title: 'A non-idempotent request runs at most once',
    mechanism: 'Claims of Idempotency-Keys in the store; nothing is resent unless the agent decided not_run',
    faults: 'answers lost by server, caller and entry; a repeat through another entry, also with the server leaving; the store down',
    tests: [
      ...retries('run once when the caller repeats', 'run once when the server loses', 'run once when the first answer', 'run once when the entry dies', 'run at most once'),
      ...links('that are cut in the middle of a call')
    ],
    properties: ['no attempt starts twice'],
    seenToFail: 'seeded `NO_BOOT_CHECK`, `GUESSED` and `NO_REPEAT_CHECK`; trial: no claim taken, the call ran again (run once when the caller repeats)',
    unproved: 'Repeats after the time for which a claim is kept'
  },
  {
    title: 'A backend server that is leaving gets no new work after a few seconds',
    mechanism: 'The agent refuses new work as not_run and says so on every link; the configuration and the list of VMs follow',
    faults: 'a list of VMs that lags by a minute; traffic through both entries',
    tests: drains('of the agent of decode', 'of the agent of prefill', 'announced by the configuration'),
    properties: [],
    seenToFail: 'trial: neither agents refusing nor entries leaving out a server that is leaving, it received new work (announced by the configuration)',
    unproved: 'Several servers leaving at once'
  },
  {
    title: 'A graceful shutdown cuts no request',
    mechanism: 'An entry turns unready, outlasts the balancer and finishes its streams; an agent finishes its attempts',
    faults: 'traffic; the store down; connections that fall silent meanwhile',
    tests: [
      ...drains('of the agent of decode', 'of the agent of prefill', 'of an entry under traffic', 'of an entry during a store outage'),
      ...links('that fall silent while the agent drains')
    ],
    properties: [],
    seenToFail: 'commit b6534c8 (the wait for acknowledgements); trial: the agent not waiting for its attempts, streams interrupted (of the agent of decode)',
    unproved: 'Streams longer than the drain limit of the settings'
  },
  {
    title: 'An accepted configuration is in force everywhere within seconds and never reverts',
    mechanism: 'One transaction per change, an operation id, versions on every message, peers as a source',
    faults: 'lost answers; racing operators through two entries; both at once; one without the right; the store down just after a change, with an entry replaced and stale reads',
    tests: [
      ...store('that loses the answer', 'takes one of several', 'takes nothing from a team', 'that goes down just after'),
      ...pairs('lost answers of the store')
    ],
    properties: ['a version never goes back', 'an accepted change is kept, a refused one is not there', 'not ready with an old version'],
    seenToFail: 'seeded `TAKE_LOWER`, `NO_COMPARE`, `ASSUME_LOST` and `STALE_READY`; commits 196d505 (13 mechanisms) and cf9e52a (6 mechanisms)',
    unproved: 'An entry cut off from the store and from all peers for longer than 10 s'
  }
]

/** A fault that operators of similar systems met, and whether a gateway can meet it. */
export interface GatewayFault {
  readonly fault: string
  /** What was found when it was tried. */
  readonly found: string
  /** Test files below `platform/tests/`, and the beginning of the tests' names. */
  readonly tests: readonly string[]
}

export const gatewayFaults: readonly GatewayFault[] = [
  {
    fault: 'A late second copy of an answer on a connection in use again',
    found: 'the next caller never got it, but the answer to a prefill was not checked, and the connection stayed in use; the pool checks every answer and drops the connection',
    tests: ['server_trouble: never gives a late second copy', 'server_trouble: never has a generation go on from the prompt of another request']
  },
  {
    fault: 'Requests just accepted, cut off in a planned stop under load',
    found: 'not found',
    tests: ['planned_stop: answers every request that was passed on', 'gateway: reports not ready, finishes a stream']
  },
  {
    fault: 'A booking that runs and is never answered, because its connection is being closed',
    found: 'a stop closed connections behind streams that had begun before it; Node.js answered requests without a host out of turn; a close is decided only where nothing has been passed on',
    tests: [
      'rolling_stop: answers every request that it passes on', 'planned_stop: answers all that it passes on', 'stop_sweep: answers what it passes on',
      'kept_connections: has its requests in flight answered', 'unreadable_requests: does not run, and the connection is closed',
      'stop_edges: answers the request that came meanwhile', 'answer_delivery: tells a caller that left'
    ]
  },
  {
    fault: 'Slow sound streams cut; stalled ones with a byte now and then never ended',
    found: 'stalled ones went on to the end of the route\'s time; only whole events count as progress now',
    tests: ['server_trouble: ends a stalled stream', 'server_trouble: does not cut a sound stream']
  },
  {
    fault: 'A store restored from a copy: changes passed over, leases of others renewed, servers that had left used again',
    found: 'all three could happen; nine of the ten tests fail where generations are ignored',
    tests: [
      'restored_store: is followed though its revisions go back', 'restored_store: gives no server new work that was known to leave',
      'restored_store: does not let one process renew the lease of another'
    ]
  },
  {
    fault: 'An engine whose change of stage the gateways were not told of',
    found: 'each gateway had prompts read in vain, again and again; one finds out and tells the others',
    tests: ['stage_change: has one prompt prefilled without effect']
  },
  {
    fault: 'Work run again, or called not run, after its answer was lost',
    found: 'not found',
    tests: ['gateway: sends a call that must not run twice only once', 'gateway: answers 504 within the timeout of the route where the server is silent']
  },
  {
    fault: 'A machine silent for a while, whose work was started again or given up',
    found: 'not found',
    tests: ['server_trouble: neither ends nor restarts a stream at a server whose entry is gone']
  },
  {
    fault: 'An answer broken off halfway, passed on as complete',
    found: 'not found',
    tests: ['gateway: does not frame as whole', 'gateway: does not let a stream that must not run twice look whole', 'gateway: does not append data that is not an event to a resumed stream']
  },
  {
    fault: 'Bytes without end, in a head or a body',
    found: 'bodies and events were collected without a bound; both are bounded, and the connection is closed',
    tests: ['server_trouble: ends a call, answers that it may have run, and bounds its memory', 'server_trouble: breaks a stream off whose event never ends']
  },
  {
    fault: 'A server that names a limit of requests a second for all gateways together',
    found: 'no gateway acted on it (incident LIMIT); one issues the permits of each server',
    tests: [
      'server_limit_one_gateway, server_limit_three_gateways, server_limit_six_gateways: send a server no more than its limit',
      'tests/gateway/permit_fleet: are kept and used; tests/gateway/permit_fleet: keep the limits'
    ]
  },
  {
    fault: 'A part of a prompt that ends each server which begins to answer on it',
    found: 'servers ended one after the other (incident BUDGET); the part is found, tried alone and blocked by all gateways',
    tests: [
      'deadly_prompt_one_gateway, deadly_prompt_six_gateways: send nothing with the part once it is known',
      'tests/gateway/prompt_fleet: send nothing with a part after three ends; tests/gateway/prompt_fleet: block nothing where servers end for other reasons'
    ]
  },
  {
    fault: 'A budget or allowance that all gateways share, while they end and start again',
    found: 'each life of a process had a budget of its own, divided by the gateways that it knew (incident BUDGET, restarts); allowances were saved up anew',
    tests: [
      'retry_bound: stay within the budget of a window', 'tests/gateway/retry_budget: holds while',
      'tests/gateway/allowance_limiter: keeps usage within the bound of a window when all gateways restart again and again'
    ]
  },
  {
    fault: 'A request that crashes each server that begins to run it',
    found: 'found by its content or its parts; two crashes within 100 ms were taken for a common failure',
    tests: ['deadly_elsewhere: a plain call and its repeats end three servers at most', 'deadly_elsewhere: a plain call whose repeat ends the next server at once']
  },
  {
    fault: 'An odd entry of another writer in a list of the store',
    found: 'an address with a port out of range ended processes, and requests failed; such entries are refused where they are decoded',
    tests: ['odd_entries: cost the good ones nothing', 'odd_entries: do not keep a gateway that starts later from the list']
  },
  {
    fault: 'A request that comes late in the grace of a planned stop',
    found: 'it was taken and cut at the end of the process; it is refused as not run unless its time is over before',
    tests: ['planned_stop: refuses those that may outlast it as not run']
  },
  {
    fault: 'A refusal written once more, half heads, errors after a stream has begun',
    found: 'a refusal of the same request was believed on the same connection; streams that ended inside an event looked whole; the others not found',
    tests: ['broken_answers: says nothing about a second send of the same request', 'broken_answers: is reset towards the caller where the server broke it off']
  },
  {
    fault: 'A server that accepts a number of connections from all gateways together',
    found: 'each gateway kept up to 24 idle ones; they are shared out',
    tests: ['connection_bound: keep no more connections in all than it accepts']
  }
]
