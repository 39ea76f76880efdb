import * as assert from 'node:assert/strict'
import * as lowWaterMarks from '../../src/allowances/low_water_marks.js'
import * as test from 'node:test'

function view (level: number, wantedTokens = 0): lowWaterMarks.BucketView[] {
  return [{ workspace: 'w', level, burstTokens: 100, wantedTokens }]
}

function createLedger (): lowWaterMarks.LowWaterMarkLedger {
  const ledger = new lowWaterMarks.LowWaterMarkLedger()
  ledger.setStandbys(['a', 'b'])
  return ledger
}

test.describe('LowWaterMarkLedger', () => {
  test.it('has no reserve before an announcement is sent', () => {
    assert.equal(createLedger().getReserve('w'), 0)
  })

  test.it('reserves the highest low-water mark that any standby may hold', () => {
    const ledger = createLedger()
    ledger.update(view(100))
    assert.deepEqual(ledger.send('a').floors, [{ workspace: 'w', tokens: 75 }])
    assert.equal(ledger.getReserve('w'), 75)
    ledger.update(view(76, 40))
    ledger.send('a')
    ledger.acknowledge('a', 2)
    assert.equal(ledger.getReserve('w'), 11)
    ledger.send('b')
    ledger.update(view(100))
    assert.equal(ledger.getReserve('w'), 75)
  })

  test.it('keeps an earlier low-water mark until every standby has acknowledged a lower one', () => {
    const ledger = createLedger()
    ledger.update(view(100))
    ledger.send('a')
    ledger.send('b')
    ledger.update(view(76, 40))
    ledger.send('a')
    ledger.acknowledge('a', 2)
    assert.equal(ledger.getReserve('w'), 75)
    ledger.send('b')
    ledger.acknowledge('b', 2)
    assert.equal(ledger.getReserve('w'), 11)
  })

  test.it('blocks a bucket that a standby may take for untouched', () => {
    const ledger = createLedger()
    ledger.update(view(100))
    ledger.send('a')
    assert.equal(ledger.getReserve('new'), Number.POSITIVE_INFINITY)
  })

  test.it('drops the reserve of a standby that is no longer named', () => {
    const ledger = createLedger()
    ledger.update(view(100))
    ledger.send('a')
    ledger.setStandbys(['b'])
    assert.equal(ledger.getReserve('w'), 0)
  })

  test.it('sends only the low-water marks that changed since the last acknowledgement', () => {
    const ledger = createLedger()
    ledger.update([...view(100), { workspace: 'v', level: 100, burstTokens: 100 }])
    ledger.send('a')
    ledger.acknowledge('a', 1)
    ledger.update([...view(76, 40), { workspace: 'v', level: 99, burstTokens: 100 }])
    assert.deepEqual(ledger.send('a'), { sequence: 2, base: 1, floors: [{ workspace: 'w', tokens: 11 }] })
  })
})
