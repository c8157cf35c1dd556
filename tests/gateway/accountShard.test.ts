import { test } from 'node:test';
import { expect } from 'earl';
import { createLogger } from '../../src/core/logging.js';
import { createMetrics } from '../../src/core/metrics.js';
import { VirtualTimers } from '../../src/core/timers.js';
import { AccountShard } from '../../src/escrow/accountShard.js';
import type { Account } from '../../src/escrow/account.js';
import { ExtensionClient } from '../../src/escrow/extensionClient.js';
import { decodeHolderRecord, type HolderRecord } from '../../src/escrow/holderRecord.js';
import { brandId, type BudgetId, type Incarnation, type VmId } from '../../src/types/ids.js';
import { FakeNetwork, FakePeerClient } from '../support/fakePeers.js';
import { createStoreFaults, FakeStore, FakeStoreServer } from '../support/fakeStore.js';
import { PausableTimers } from '../support/pausableTimers.js';

const BUDGET: BudgetId = brandId('yard');
const VM: VmId = brandId('vm0');
const TOPIC = { name: 'accounts', part: 0 };

/** One shard on virtual time, its store and the faults of its calls. */
class ShardScenario {
  readonly faults = createStoreFaults();

  readonly shard: AccountShard;

  /** The records that the shard tried to append. */
  readonly sent: HolderRecord[] = [];

  /** Called before each append. */
  onAppend: (record: HolderRecord) => void = () => {};

  /** The number of records that the shard tried to append and no reader accepts. */
  unreadable = 0;

  private readonly process: PausableTimers;

  readonly timers: VirtualTimers;

  /** A scenario without another one's store begins with an empty store. */
  constructor(
    totals: ReadonlyMap<BudgetId, number> = new Map([[BUDGET, 10_000]]),
    private readonly server = new FakeStoreServer(new VirtualTimers()),
    run: Incarnation = brandId('run1'),
    cores = 2,
  ) {
    this.timers = server.timers as VirtualTimers;
    const process = new PausableTimers(this.timers);
    this.process = process;
    const store = new FakeStore(this.server, process, this.faults);
    const append = store.append.bind(store);
    store.append = (options) => {
      const decoded = decodeHolderRecord(options.value!);
      if (decoded.ok) {
        this.sent.push(decoded.val);
        this.onAppend(decoded.val);
      } else {
        this.unreadable += 1;
      }
      return append(options);
    };
    const client = new FakePeerClient(new FakeNetwork(this.timers), VM, process);
    this.shard = new AccountShard({
      store,
      topic: TOPIC,
      timers: process,
      logger: createLogger({ level: 'error' }),
      metrics: createMetrics(),
      vm: VM,
      run,
      cores,
      extensions: new ExtensionClient({ client, vm: VM, part: 0 }),
      client,
      address: 'vm0',
      horizonMs: 8_500,
      getTotals: () =>
        new Map([...totals].map(([budget, tokens]) => [budget, { tokens, version: 1 }])),
      random: () => 0.5,
    });
    this.shard.start();
  }

  getAccount(): Account {
    return this.shard.accounts.getAccount(BUDGET);
  }

  /** Kills the process and starts its successor on the same vm. */
  restart(): ShardScenario {
    this.process.pause();
    return new ShardScenario(undefined, this.server, brandId<Incarnation>('run2'));
  }

  /** Returns the claim that other processes read. */
  getStoredClaim(): number {
    const record = this.server.getRecords(TOPIC).at(-1)!;
    return getClaim(decodeHolderRecord(record.value!).unwrap());
  }

  /** Returns what this process has spent and may still spend. */
  getSpendable(): number {
    const { allotment } = this.getAccount();
    return allotment.spent + allotment.free;
  }

  /** Spends tokens in steps, so that the shard claims more of them and has some to return later. */
  async spend(steps: number): Promise<void> {
    for (let step = 0; step < steps; step += 1) {
      const account = this.getAccount();
      account.recordDemand(100, this.timers.now());
      if (account.allotment.tryHold(100, this.timers.now())) {
        account.settle(100, 100, this.timers.now());
      }
      // Sequential: the rate of spending decides how much is claimed.
      await this.timers.advance(50);
    }
  }
}

function getClaim({ balances }: HolderRecord): number {
  return balances.get(BUDGET)?.claimed ?? 0;
}

test('a shard stopped during a sync returns its unspent tokens', async () => {
  const { timers, shard, faults } = new ShardScenario();
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

/** Spends, becomes idle, and gets no response to the append that returns tokens, which is done `lateMs` later. */
async function returnTokensLate(scenario: ShardScenario, lateMs: number): Promise<void> {
  const { timers, faults } = scenario;
  let lastClaim = 0;
  let isReturned = false;
  await timers.advance(2_000);
  await scenario.spend(40);
  scenario.onAppend = (record) => {
    const claim = getClaim(record);
    if (isReturned) {
      faults.refusedCalls = 'appends';
    } else if (claim < lastClaim) {
      isReturned = true;
      Object.assign(faults, { lateAppends: 1, lateMs });
    }
    lastClaim = claim;
  };
  while (faults.refusedCalls === 'none') {
    // Sequential: the shard syncs as time passes.
    await timers.advance(10);
  }
}

// Failure: a budget is overspent because tokens are taken back whose return is stored later.
test('tokens whose return may still be stored are not spent after a refusal', async () => {
  const scenario = new ShardScenario();
  await returnTokensLate(scenario, 1_500);
  await scenario.timers.advance(1_500);
  expect(scenario.getSpendable()).toBeLessThanOrEqual(scenario.getStoredClaim());
  await scenario.spend(80);
  expect(scenario.getSpendable()).toBeLessThanOrEqual(scenario.getStoredClaim());
});

test('tokens whose return was refused and is never stored can be spent again', async () => {
  const scenario = new ShardScenario();
  await returnTokensLate(scenario, 600_000);
  scenario.faults.refusedCalls = 'none';
  await scenario.timers.advance(2_000);
  const { free } = scenario.getAccount().allotment;
  await scenario.spend(60);
  expect(scenario.getAccount().allotment.spent).toBeGreaterThan(free);
  expect(scenario.getSpendable()).toBeLessThanOrEqual(scenario.getStoredClaim());
});

test('records that differ have different sequence numbers', async () => {
  const scenario = new ShardScenario();
  const { timers, faults, sent } = scenario;
  await timers.advance(2_000);
  faults.refusedCalls = 'appends';
  await scenario.spend(60);
  faults.refusedCalls = 'none';
  await timers.advance(3_000);
  const contents = new Map<number, string>();
  sent.forEach(({ sequence, balances }) => {
    const content = JSON.stringify([...balances]);
    expect(contents.get(sequence) ?? content).toEqual(content);
    contents.set(sequence, content);
  });
  expect(contents.size).toBeGreaterThan(2);
});

// Failure: a process spends what it claimed with records that no reader accepts, and its successor spends it again.
test('a process with a balance that no record can hold spends only what is stored', async () => {
  const scenario = new ShardScenario();
  const { timers, sent } = scenario;
  const { allotment } = scenario.getAccount();
  await timers.advance(2_000);
  expect(allotment.tryHold(100, timers.now())).toEqual(true);
  allotment.settle(100, 0.5, timers.now());
  sent.length = 0;
  await scenario.spend(400);
  expect([scenario.unreadable, sent.length > 0]).toEqual([0, true]);
  // Claims may have been extended since the stored balance, so all of them count as activated.
  const balances = sent.map((record) => record.balances.get(BUDGET)!);
  expect(balances.every(({ activated, claimed }) => activated === claimed)).toEqual(true);
  expect(scenario.getSpendable()).toBeLessThanOrEqual(scenario.getStoredClaim());
  const successor = scenario.restart();
  await timers.advance(2_000);
  await successor.spend(400);
  expect(allotment.spent + successor.getAccount().allotment.spent).toBeLessThanOrEqual(10_000);
});

// Failure: one workspace's numbers stop the accounts of all others.
test('a budget whose balance no record can hold grants nothing, and others are claimed', async () => {
  const broken: BudgetId = brandId('broken');
  const scenario = new ShardScenario(new Map([[BUDGET, 10_000]]).set(broken, 5_000.5));
  await scenario.timers.advance(2_000);
  await scenario.spend(40);
  expect([scenario.unreadable, scenario.getAccount().allotment.spent]).toEqual([0, 4_000]);
  expect(scenario.shard.accounts.getAccount(broken).getTotalFree()).toEqual(0);
});

// Failure: a process claims tokens with a record that no reader accepts whatever its balances are.
test('a process whose record no reader would accept stores nothing and claims nothing', async () => {
  const scenario = new ShardScenario(undefined, undefined, undefined, -1);
  await scenario.timers.advance(2_000);
  expect([scenario.unreadable, scenario.sent.length]).toEqual([0, 0]);
  expect([scenario.shard.isReady(), scenario.getSpendable()]).toEqual([false, 0]);
});
