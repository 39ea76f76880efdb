import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as nodeSystems from '../../src/host/node_system.js'
import * as stallMonitors from '../../src/gateway/stall_monitor.js'

test.describe('The monitor of stalls', () => {
  test.it('reports the longest stall of the last minute', () => {
    const monitor = new stallMonitors.StallMonitor(new nodeSystems.SilentLog())
    monitor.tick(1_000, 250)
    monitor.tick(1_300, 250)
    assert.equal(monitor.getLongestMs(1_300), 0)
    monitor.tick(6_550, 250)
    monitor.tick(7_400, 250)
    assert.equal(monitor.getLongestMs(7_400), 5_000)
    assert.equal(monitor.getLongestMs(66_550), 5_000)
    assert.equal(monitor.getLongestMs(66_551), 0)
  })
})
