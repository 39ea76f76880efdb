/**
 * The page `docs/PROOFS.md`, made from the table of the points.
 */
import * as proofTable from './proof_table.js'

const heading = `# What must always hold, and what shows it

This page is made from the table in \`tools/proof_table.ts\` (\`npm run prove\`); a test fails when it is out of date.
\`npm run prove\` runs the tests and the model check and prints for each point whether it is proved, red as listed in
\`KNOWN-RED.txt\`, or not proved. Fault tests run the daemons as separate processes beside small stand-ins of the engines,
the plain service, the store and the list of VMs. At the end of each, these counts must be 0: answers given twice, answers
lost, wrong texts, pieces of engine memory held 2 s after all callers have left, keys seen by a server, calls that ran
twice, and false refusals "not run". *Seen to fail* names what shows that the checks of a point can fail: faults seeded into
the model (\`npm run check:model\` must find each), commits that tell which test failed without the mechanism, and trials, in
which the mechanism was taken out of a scratch copy.

`

export function createPage (): string {
  return heading + proofTable.points.map((point, index) => createSection(point, index + 1)).join('\n') + createGatewaySection()
}

function createGatewaySection (): string {
  const rows = proofTable.gatewayFaults.map(({ fault, found, tests }) => `| ${fault} | ${found} | ${tests.join('; ')} |`)
  return [
    '',
    '## Gateways: what operators of similar systems met',
    '',
    'Tests below `platform/tests/`, by file and the beginning of their names.',
    '',
    '| fault | found when it was tried | tests |',
    '| --- | --- | --- |',
    ...rows,
    ''
  ].join('\n')
}

function createSection (point: proofTable.Point, number: number): string {
  const tests = point.tests.map(test => `  - \`tests/${test.file}.test.ts\`: ${test.name}`)
  const properties = point.properties.map(property => `  - ${property}`)
  return [
    `## ${number}. ${point.title}`,
    '',
    `- Mechanism: ${point.mechanism}.`,
    `- Faults tried: ${point.faults}.`,
    '- Tests (by the beginning of their names):',
    ...tests,
    ...(properties.length === 0 ? ['- Model: none.'] : ['- Properties of the model:', ...properties]),
    `- Seen to fail: ${point.seenToFail}.`,
    `- Not proved: ${point.unproved}.`,
    ''
  ].join('\n')
}
