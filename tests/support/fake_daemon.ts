/**
 * A daemon that checks its settings and answers `/healthz` and `/readyz`, for tests of the launcher. Ends with
 * code 3 when its node is named as broken in the environment of the test.
 */
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as yaml from 'yaml'
import * as settings from '../../src/contracts/settings.js'

const file = process.argv[process.argv.indexOf('--settings') + 1] as string
const parsed = settings.Settings.parse(yaml.parse(fs.readFileSync(file, 'utf8')))
if (parsed.node === process.env['BROKEN_NODE']) {
  process.stderr.write('broken on purpose\n')
  process.exit(3)
}
const address = parsed.role === 'entry' ? parsed.administration : parsed.health
const server = http.createServer((_, response) => response.end(parsed.node))
server.listen(address.port, address.host)
process.once('SIGTERM', () => process.exit(0))
