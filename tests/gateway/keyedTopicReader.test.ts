import { test } from 'node:test';
import { expect } from 'earl';
import { createLogger } from '../../src/core/logging.js';
import { VirtualTimers } from '../../src/core/timers.js';
import { KeyedTopicReader } from '../../src/store/keyedTopicReader.js';
import { createStoreFaults, FakeStore, FakeStoreServer } from '../support/fakeStore.js';
import { PausableTimers } from '../support/pausableTimers.js';

const TOPIC = { name: 'topic', part: 0 };

function createFollower(gapMs?: number) {
  const timers = new VirtualTimers();
  const server = new FakeStoreServer(timers);
  const faults = createStoreFaults();
  const process = new PausableTimers(timers);
  const values = new Map<string, string>();
  const lists: boolean[] = [];
  const follower = new KeyedTopicReader({
    store: new FakeStore(server, process, faults),
    topic: TOPIC,
    minReadIntervalMs: gapMs,
    timers: process,
    logger: createLogger({ level: 'error', format: 'json' }),
    onSnapshot: (keys, isAfterOutage) => {
      lists.push(isAfterOutage);
      [...values.keys()].filter((key) => !keys.has(key)).forEach((key) => values.delete(key));
    },
    onRecord: ({ key, value }) => {
      if (key === 'broken') {
        throw new Error('simulated');
      }
      values.set(key, Buffer.from(value ?? []).toString());
    },
  });
  const put = (key: string, value: string) => {
    const at = server.getRecords(TOPIC).length as never;
    server.append({ topic: TOPIC, key, value: Buffer.from(value), at });
  };
  return { timers, server, faults, follower, values, lists, put };
}

test('a follower starts with the newest of each key and hears every later record', async () => {
  const { timers, follower, values, put } = createFollower();
  put('a', '1');
  put('a', '2');
  follower.start();
  await timers.advance(100);
  put('b', '3');
  await timers.advance(100);
  expect([...values]).toEqual([
    ['a', '2'],
    ['b', '3'],
  ]);
  follower.stop();
});

test('records that were missed make a follower start over, without an outage', async () => {
  const { timers, server, faults, follower, values, lists, put } = createFollower();
  put('a', '1');
  follower.start();
  await timers.advance(50);
  faults.slowMs = 200;
  await timers.advance(10);
  put('b', '2');
  put('b', '3');
  server.trim(TOPIC);
  faults.slowMs = 0;
  await timers.advance(1_000);
  expect(values.get('b')).toEqual('3');
  expect(lists.includes(true)).toEqual(false);
  follower.stop();
});

test('after an outage the whole list is read again', async () => {
  const { timers, faults, follower, lists, put } = createFollower();
  put('a', '1');
  follower.start();
  await timers.advance(100);
  faults.isPartitioned = true;
  await timers.advance(4_000);
  expect(follower.getFailingMs()).toBeGreaterThan(1_000);
  faults.isPartitioned = false;
  await timers.advance(2_000);
  expect(follower.getFailingMs()).toEqual(0);
  expect(lists).toEqual([false, true]);
  follower.stop();
});

test('a record that can not be handled does not stop those after it', async () => {
  const { timers, follower, values, put } = createFollower();
  put('broken', 'x');
  put('c', '1');
  follower.start();
  await timers.advance(100);
  expect(values.get('c')).toEqual('1');
  follower.stop();
});

test('a topic that is written all the time is read once in a gap, and no record is late by more', async () => {
  const gapMs = 500;
  const { timers, server, follower, values, put } = createFollower(gapMs);
  let reads = 0;
  const read = server.read.bind(server);
  server.read = (options) => {
    reads += 1;
    return read(options);
  };
  follower.start();
  for (let count = 0; count < 200; count += 1) {
    put('beat', String(count));
    await timers.advance(20);
  }
  expect(reads).toBeLessThanOrEqual(4_000 / gapMs + 1);
  expect(Number(values.get('beat'))).toBeGreaterThanOrEqual(199 - gapMs / 20 - 1);
  follower.stop();
});
