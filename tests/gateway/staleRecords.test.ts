/** Failure: the record of a process that still serves is removed with those of processes that have ended. */
import { test } from 'node:test';
import { expect } from 'earl';
import { createLogger } from '../../src/core/logging.js';
import { VirtualTimers } from '../../src/core/timers.js';
import { StaleRecordSweeper } from '../../src/gateway/streams/staleRecordSweeper.js';
import { FakeStore, FakeStoreServer, createStoreFaults } from '../support/fakeStore.js';
import { PausableTimers } from '../support/pausableTimers.js';

const topic = { name: 'streams', part: 0 };
const RETENTION_MS = 60_000;
const SWEEP_MS = 90_000;

test('only records that have not been written since the last sweep are removed', async () => {
  const timers = new VirtualTimers();
  const server = new FakeStoreServer(timers, 4);
  const store = new FakeStore(server, new PausableTimers(timers), createStoreFaults());
  const write = (key: string) => server.append({ topic, key, value: Buffer.from('same') });
  const sweeper = new StaleRecordSweeper({
    store,
    topic,
    timers,
    logger: createLogger({ level: 'error' }),
    isResponsible: () => true,
    getRetentionMs: () => RETENTION_MS,
  });
  ['ended', 'renewed', 'renewed during the sweep'].forEach(write);
  sweeper.start();
  await timers.advance(SWEEP_MS + 1_000);
  write('renewed');
  // The read of the second sweep takes 4 ms, and the removal of the first record another 12.
  await timers.advance(SWEEP_MS - 1_000 + 6);
  write('renewed during the sweep');
  await timers.advance(1_000);
  sweeper.stop();
  const { records } = server.readNewest(topic).unwrap();
  const kept = records.filter(({ value }) => value).map(({ key }) => key);
  expect(kept).toEqual(['renewed', 'renewed during the sweep']);
});
