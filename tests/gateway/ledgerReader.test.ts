import { test } from 'node:test';
import { expect } from 'earl';
import { createLogger } from '../../src/core/logging.js';
import { VirtualTimers } from '../../src/core/timers.js';
import { encodeHolderRecord } from '../../src/escrow/holderRecord.js';
import { LedgerReader } from '../../src/escrow/ledgerReader.js';
import {
  brandId,
  type BudgetId,
  type Incarnation,
  type Offset,
  type VmId,
} from '../../src/types/ids.js';
import { createStoreFaults, FakeStore, FakeStoreServer } from '../support/fakeStore.js';
import { PausableTimers } from '../support/pausableTimers.js';

const TOPIC = { name: 'accounts', part: 0 };
const BUDGET: BudgetId = brandId('yard');
const OWN: VmId = brandId('own');

function createReader() {
  const timers = new VirtualTimers();
  const server = new FakeStoreServer(timers);
  const seen: string[] = [];
  const reader = new LedgerReader({
    store: new FakeStore(server, new PausableTimers(timers), createStoreFaults()),
    topic: TOPIC,
    logger: createLogger({ level: 'error' }),
    vm: OWN,
    onRecord: (holder, { sequence }) => seen.push(`${holder} ${sequence}`),
  });
  const append = (holder: VmId, value: Uint8Array) => {
    const at = server.getRecords(TOPIC).length as Offset;
    server.append({ topic: TOPIC, key: holder, value, at });
  };
  const appendClaim = (holder: VmId, sequence: number, claimed: number) => {
    const balance = {
      claimed,
      activated: 0,
      settled: 0,
      lost: 0,
      shortfall: 0,
      total: 0,
      totalVersion: 0,
    };
    const balances = new Map([[BUDGET, balance]]);
    const run = brandId<Incarnation>('run');
    append(
      holder,
      encodeHolderRecord({
        run,
        sequence,
        address: 'a',
        cores: 1,
        witnesses: [],
        balances,
      }).unwrap(),
    );
  };
  const read = async () => {
    const done = reader.readToEnd();
    await timers.advance(100);
    expect((await done).ok).toEqual(true);
  };
  return { reader, seen, append, appendClaim, read };
}

test('applies every record of the own vm but only the newest of another holder', async () => {
  const { reader, seen, appendClaim, read } = createReader();
  await read();
  for (let sequence = 1; sequence <= 50; sequence += 1) {
    appendClaim(brandId('home'), sequence, sequence * 10);
  }
  appendClaim(OWN, 1, 7);
  appendClaim(OWN, 2, 8);
  await read();
  expect(seen).toEqual(['own 1', 'own 2', 'home 50']);
  expect(reader.ledger.getClaimed(BUDGET)).toEqual(508);
});

test('applies the previous record if the newest one is malformed', async () => {
  const { reader, append, appendClaim, read } = createReader();
  await read();
  appendClaim(brandId('home'), 1, 10);
  appendClaim(brandId('home'), 2, 20);
  append(brandId('home'), Buffer.from('someone else'));
  await read();
  expect(reader.ledger.getClaimed(BUDGET)).toEqual(20);
});
