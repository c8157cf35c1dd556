import { test } from 'node:test';
import { expect } from 'earl';
import { createRefusal } from '../../src/core/codes.js';
import { createLogger } from '../../src/core/logging.js';
import { createMetrics } from '../../src/core/metrics.js';
import { Err } from '../../src/core/results.js';
import { VirtualTimers } from '../../src/core/timers.js';
import { Account } from '../../src/escrow/account.js';
import { AccountShard } from '../../src/escrow/accountShard.js';
import type { HoldResult } from '../../src/escrow/escrowController.js';
import { ExtensionClient } from '../../src/escrow/extensionClient.js';
import { PeerHolds } from '../../src/escrow/peerHolds.js';
import { HomeList } from '../../src/escrow/homeList.js';
import { encodeHolderRecord, type HolderRecord } from '../../src/escrow/holderRecord.js';
import { Ledger } from '../../src/escrow/ledger.js';
import {
  brandId,
  type BudgetId,
  type Incarnation,
  type Offset,
  type VmId,
} from '../../src/types/ids.js';
import { FakeNetwork, FakePeerClient } from '../support/fakePeers.js';
import { createStoreFaults, FakeStore, FakeStoreServer } from '../support/fakeStore.js';
import { PausableTimers } from '../support/pausableTimers.js';

const BUDGET: BudgetId = brandId('yard');
const TOPIC = { name: 'accounts', part: 0 };
const HOMES = 6;
const SMALL_FLEET = 9; // the largest fleet in which every vm is a home
const HOLD_WAIT_MS = 180; // how long a home may delay its response to another vm's hold
const logger = createLogger({ level: 'error' });

function getVms(count: number): VmId[] {
  return Array.from({ length: count }, (_, index) => brandId(`vm${index}`));
}

function createRecord(vm: VmId, cores = 0): HolderRecord {
  const run: Incarnation = brandId(`${vm}-1`);
  return { run, sequence: 1, address: vm, cores, witnesses: [], balances: new Map() };
}

function createLedger(vms: readonly VmId[]): Ledger {
  const ledger = new Ledger();
  vms.forEach((vm) => ledger.apply(vm, createRecord(vm)));
  return ledger;
}

test('vms with the same list of holders agree on the homes, and every vm of a small fleet is a home', () => {
  const timers = new VirtualTimers();
  const getHomes = (vms: readonly VmId[]) => {
    const ledger = createLedger(vms);
    return vms.filter((vm) => new HomeList({ ledger, timers, logger, vm, part: 0 }).isHome());
  };
  expect(getHomes(getVms(76)).length).toEqual(HOMES);
  expect(getHomes(getVms(SMALL_FLEET)).length).toEqual(SMALL_FLEET);
});

test('an unresponsive home is replaced by another vm and excluded, longer each time', async () => {
  const timers = new VirtualTimers();
  const ledger = createLedger(getVms(76));
  const list = new HomeList({ ledger, timers, logger, vm: brandId('vm0'), part: 0 });
  const [first, ...others] = list.getHomesToAsk(BUDGET);
  list.recordTimeout(first!);
  expect(list.getHomesToAsk(BUDGET)).not.toInclude(first!);
  expect(list.getHomesToAsk(BUDGET)).toInclude(...others);
  expect(list.getHomeCount()).toEqual(HOMES);
  await timers.advance(1_001);
  expect(list.getHomesToAsk(BUDGET)).toInclude(first!);
  list.recordTimeout(first!);
  await timers.advance(1_001);
  expect(list.getHomesToAsk(BUDGET)).not.toInclude(first!);
  list.recordResponse(first!);
  expect(list.getHomesToAsk(BUDGET)).toInclude(first!);
});

test('every vm asks the same home first for a budget, and only that home claims ahead of calls', () => {
  const timers = new VirtualTimers();
  const vms = getVms(76);
  const ledger = createLedger(vms);
  const lists = vms.map((vm) => new HomeList({ ledger, timers, logger, vm, part: 0 }));
  const budgets = Array.from({ length: 24 }, (_, index) => brandId<BudgetId>(`budget${index}`));
  const claimants = budgets.map((budget) =>
    vms.filter((_, index) => lists[index]!.isHomeOf(budget)),
  );
  expect(claimants.every((homes) => homes.length === 1)).toEqual(true);
  expect(new Set(claimants.flat()).size).toBeGreaterThan(HOMES / 2);
  budgets.forEach((budget, budgetIndex) => {
    const [home] = claimants[budgetIndex]!;
    const first = lists
      .filter((_, index) => vms[index] !== home)
      .map((list) => list.getHomesToAsk(budget)[0]);
    expect(new Set(first)).toEqual(new Set([home]));
  });
});

test('the largest vms are the homes, regardless of their order', () => {
  const timers = new VirtualTimers();
  const vms = getVms(84);
  const ledger = new Ledger();
  const isLarge = (vm: VmId) => vms.indexOf(vm) % 14 === 3;
  vms.forEach((vm) => ledger.apply(vm, createRecord(vm, isLarge(vm) ? 1.35 : 0.324)));
  const homes = vms.filter((vm) =>
    new HomeList({
      ledger,
      timers,
      logger,
      vm,
      cores: isLarge(vm) ? 1.35 : 0.324,
      part: 0,
    }).isHome(),
  );
  expect(homes).toEqual(vms.filter(isLarge));
});

/** Creates the peer holds of one home with a balance; granting each hold takes its whole `waitMs`. */
function createHolds(timers: VirtualTimers, balance: number) {
  const state = { free: balance };
  const holds = new PeerHolds({
    isReady: () => true,
    hold: async (budget, tokens, waitMs): Promise<HoldResult> => {
      await timers.sleep(waitMs);
      if (state.free < tokens) {
        return { kind: 'refused', refusal: createRefusal('tokensLent', { retryAfterMs: 800 }) };
      }
      state.free -= tokens;
      const settle = (used: number) => {
        state.free += tokens - used;
      };
      return { kind: 'held', hold: { budget, tokens, settle } };
    },
  });
  return { holds, state };
}

test('a hold for a peer is granted and settled once although both requests are repeated', async () => {
  const timers = new VirtualTimers();
  const { holds, state } = createHolds(timers, 100);
  const request = { hold: 'a-1', budget: BUDGET, tokens: 60, waitMs: 10 };
  const responses = [holds.hold(request), holds.hold(request)];
  await timers.advance(10);
  expect(await Promise.all(responses)).toEqual([{ kind: 'held' }, { kind: 'held' }]);
  expect(state.free).toEqual(40);
  expect(holds.settle({ hold: 'a-1', used: 25 })).toEqual({ isKnown: true });
  expect(holds.settle({ hold: 'a-1', used: 0 })).toEqual({ isKnown: false });
  expect(state.free).toEqual(75);
});

test('a hold whose settlement arrives first keeps no tokens', async () => {
  const timers = new VirtualTimers();
  const { holds, state } = createHolds(timers, 100);
  const response = holds.hold({ hold: 'a-1', budget: BUDGET, tokens: 60, waitMs: 10 });
  holds.settle({ hold: 'a-1', used: 0 });
  await timers.advance(10);
  expect(await response).toEqual({ kind: 'unavailable' });
  expect(state.free).toEqual(100);
});

test('a stopping home refuses new holds and waits for the open holds of its peers', async () => {
  const timers = new VirtualTimers();
  const { holds } = createHolds(timers, 100);
  const held = holds.hold({ hold: 'a-1', budget: BUDGET, tokens: 60, waitMs: 10 });
  await timers.advance(10);
  await held;
  let isDrained = false;
  const drained = holds.drain().then(() => {
    isDrained = true;
  });
  const late = await holds.hold({ hold: 'a-2', budget: BUDGET, tokens: 10, waitMs: 10 });
  expect(late).toEqual({ kind: 'unavailable' });
  await VirtualTimers.flushPromises();
  expect(isDrained).toEqual(false);
  holds.settle({ hold: 'a-1', used: 60 });
  await drained;
});

/** Creates a shard on a store that already lists the other holders. */
function createShard(timers: VirtualTimers, vm: VmId, others: readonly VmId[]) {
  const process = new PausableTimers(timers);
  const server = new FakeStoreServer(timers);
  others.forEach((other, index) => {
    const value = encodeHolderRecord(createRecord(other)).unwrap();
    server.append({ topic: TOPIC, key: other, value, at: index as Offset });
  });
  const store = new FakeStore(server, process, createStoreFaults());
  const client = new FakePeerClient(new FakeNetwork(timers), vm, process);
  const shard = new AccountShard({
    store,
    topic: TOPIC,
    timers: process,
    logger,
    metrics: createMetrics(),
    vm,
    run: brandId('run1'),
    extensions: new ExtensionClient({ client, vm, part: 0 }),
    client,
    address: vm,
    horizonMs: 8_500,
    getTotals: () => new Map([[BUDGET, { tokens: 10_000, version: 1 }]]),
    random: () => 0.5,
  });
  return { shard, store, server };
}

test('a claim that conflicts six times is stored within the wait of a hold', async () => {
  const timers = new VirtualTimers();
  const { shard, store } = createShard(timers, brandId('own'), getVms(SMALL_FLEET - 1));
  shard.start();
  await timers.advance(100);
  expect(shard.isReady()).toEqual(true);
  let conflicts = 6;
  const { append } = store;
  store.append = (options) => {
    conflicts -= 1;
    return conflicts >= 0
      ? Promise.resolve(Err({ kind: 'conflict', end: options.at! }))
      : append.call(store, options);
  };
  const claimed = shard.ledger.getClaimed(BUDGET);
  shard.accounts.getAccount(BUDGET).recordUnmet(5_000, timers.now());
  shard.requestSync();
  await timers.advance(HOLD_WAIT_MS);
  expect(shard.ledger.getClaimed(BUDGET)).toBeGreaterThan(claimed);
});

test('demand is recorded while the first calls of a burst still run', () => {
  const account = new Account(BUDGET, 8_500);
  account.recordDemand(1_000, 100);
  account.recordDemand(1_000, 150);
  const expected = account.getExpectedSpending(1_700, 200);
  expect(expected).toBeGreaterThan(1_000);
  account.allotment.credit(2_000);
  account.allotment.tryHold(1_000, 200);
  account.settle(1_000, 400, 200);
  expect(account.getExpectedSpending(1_700, 200)).toBeLessThan(expected);
});

// Guards against claims after an outage for all calls that were refused during it.
test('calls that were refused seconds ago are no demand any more', () => {
  const account = new Account(BUDGET, 8_500);
  for (let nowMs = 0; nowMs <= 9_000; nowMs += 100) {
    account.recordUnmet(1_000, nowMs);
  }
  expect(account.getUnmet(9_000)).toBeLessThan(12_000);
  expect(account.getUnmet(12_500)).toEqual(0);
});

test('a vm without claims appends one record and stops without another one', async () => {
  const timers = new VirtualTimers();
  const vms = getVms(76);
  const isNotHome = (vm: VmId) =>
    !new HomeList({ ledger: createLedger(vms), timers, logger, vm, part: 0 }).isHome();
  const vm = vms.find(isNotHome)!;
  const { shard, server } = createShard(
    timers,
    vm,
    vms.filter((other) => other !== vm),
  );
  shard.start();
  await timers.advance(10_000);
  expect(server.getRecords(TOPIC).length).toEqual(vms.length);
  const stopped = shard.stop();
  await timers.advance(1_000);
  await stopped;
  expect(server.getRecords(TOPIC).length).toEqual(vms.length);
});
