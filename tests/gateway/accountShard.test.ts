import { test } from 'node:test';
import { expect } from 'earl';
import { createLogger } from '../../src/core/logging.js';
import { createMetrics } from '../../src/core/metrics.js';
import { VirtualTimers } from '../../src/core/timers.js';
import { AccountShard } from '../../src/escrow/accountShard.js';
import { ExtensionClient } from '../../src/escrow/extensionClient.js';
import { brandId, type BudgetId, type VmId } from '../../src/types/ids.js';
import { FakeNetwork, FakePeerClient } from '../support/fakePeers.js';
import { createStoreFaults, FakeStore, FakeStoreServer } from '../support/fakeStore.js';
import { PausableTimers } from '../support/pausableTimers.js';

const BUDGET: BudgetId = brandId('yard');
const VM: VmId = brandId('vm0');

test('a shard stopped during a sync returns its unspent tokens', async () => {
  const timers = new VirtualTimers();
  const process = new PausableTimers(timers);
  const faults = createStoreFaults();
  const store = new FakeStore(new FakeStoreServer(timers), process, faults);
  const client = new FakePeerClient(new FakeNetwork(timers), VM, process);
  const shard = new AccountShard({
    store,
    topic: { name: 'accounts', part: 0 },
    timers: process,
    logger: createLogger({ level: 'error' }),
    metrics: createMetrics(),
    vm: VM,
    run: brandId('run1'),
    extensions: new ExtensionClient({ client, vm: VM, part: 0 }),
    address: 'vm0',
    horizonMs: 8_500,
    getTotals: () => new Map([[BUDGET, { tokens: 10_000, version: 1 }]]),
    random: () => 0.5,
  });
  shard.start();
  await timers.advance(2_000);
  expect(shard.ledger.getClaimed(BUDGET)).toBeGreaterThan(0);
  faults.slowMs = 200;
  shard.requestSync();
  await timers.advance(10);
  const stopped = shard.stop();
  await timers.advance(2_000);
  await stopped;
  expect(shard.ledger.getClaimed(BUDGET)).toEqual(0);
});
