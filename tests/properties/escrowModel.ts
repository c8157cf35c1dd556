/** Whole escrow processes on virtual time under random faults, against the one sum that must hold. */
import fc from 'fast-check';
import { createLogger } from '../../src/core/logging.js';
import { createMetrics } from '../../src/core/metrics.js';
import { VirtualTimers } from '../../src/core/timers.js';
import { AccountShard } from '../../src/escrow/accountShard.js';
import { EscrowController } from '../../src/escrow/escrowController.js';
import { ExtensionClient } from '../../src/escrow/extensionClient.js';
import type { VersionedTotal } from '../../src/escrow/ledger.js';
import { HomeClient } from '../../src/escrow/homeClient.js';
import { ExtensionWitness } from '../../src/escrow/extensionWitness.js';
import { TransferController } from '../../src/controllers/transferController.js';
import { brandId, type BudgetId, type Incarnation, type VmId } from '../../src/types/ids.js';
import { FakeNetwork, FakePeerClient } from '../support/fakePeers.js';
import {
  createStoreFaults,
  FakeStore,
  FakeStoreServer,
  type StoreFaults,
} from '../support/fakeStore.js';
import { PausableTimers } from '../support/pausableTimers.js';

/** One thing that happens. Amounts are in tokens, times in milliseconds. */
export type EscrowEvent =
  | {
      readonly kind: 'request';
      readonly vm: number;
      readonly tokens: number;
      readonly runMs: number;
      /** Index of the budget. Default 0. */
      readonly budget?: number;
    }
  | { readonly kind: 'kill'; readonly vm: number; readonly all: boolean }
  | { readonly kind: 'freeze'; readonly vm: number; readonly forMs: number }
  | { readonly kind: 'cutStore'; readonly vm: number; readonly all: boolean }
  | { readonly kind: 'healStore' }
  | { readonly kind: 'cutPeers'; readonly vm: number; readonly other: number }
  | { readonly kind: 'healPeers' }
  | { readonly kind: 'loseAnswers'; readonly vm: number; readonly count: number }
  | {
      readonly kind: 'delayAppends';
      readonly vm: number;
      readonly count: number;
      readonly lateMs: number;
    }
  | { readonly kind: 'slowStore'; readonly vm: number; readonly slowMs: number }
  | { readonly kind: 'forget' }
  | { readonly kind: 'topUp'; readonly tokens: number }
  | { readonly kind: 'wait'; readonly forMs: number };

/** A change of the code under test, to see that the model finds it. */
export type EscrowMutation = (run: EscrowProcess) => void;

/** One process of the model. */
export interface EscrowProcess {
  readonly process: PausableTimers;
  readonly shard: AccountShard;
  readonly escrow: EscrowController;
  readonly extensions: ExtensionClient;
  readonly store: FakeStore;
  readonly client: FakePeerClient;
}

/** What a model is made of. */
export interface EscrowModelOptions {
  readonly seed: number;
  readonly mutate?: EscrowMutation;
  /** The total of each budget at first. Default 9,000: some requests of the largest size, so that its end is reached. */
  readonly total?: number;
  /** Default 4. */
  readonly vms?: number;
  /** Default 1. */
  readonly budgets?: number;
  /** The most vms that claim. Default as in the code. */
  readonly homesMax?: number;
  /** How long processes run before the first event. Default 3,500: each has read the others' records by then. */
  readonly startupMs?: number;
  /** How long the store takes for one append; it takes them one after another. Default 0. */
  readonly appendMs?: number;
}

const VMS = 4;
const DEFAULT_TOTAL = 9_000;
const STARTUP_MS = 3_500;
const TOPIC = { name: 'accounts', part: 0 };
const logger = createLogger({ level: 'error' });

/** A fleet of escrow processes. */
export class EscrowModel {
  private readonly timers = new VirtualTimers();

  private readonly server: FakeStoreServer;

  private readonly network = new FakeNetwork(this.timers);

  private readonly faults: StoreFaults[];

  private readonly names: readonly VmId[];

  private readonly budgets: readonly BudgetId[];

  private readonly consumption: number[];

  private total: number;

  private readonly processes: EscrowProcess[] = [];

  private version = 1;

  private startCount = 0;

  /** What requests were served and refused. */
  served = 0;

  refused = 0;

  constructor(private readonly options: EscrowModelOptions) {
    const { total = DEFAULT_TOTAL, vms = VMS, budgets = 1, appendMs = 0 } = options;
    this.total = total;
    this.server = new FakeStoreServer(this.timers, appendMs);
    this.names = Array.from({ length: vms }, (_, vm) => getVmName(vm));
    this.faults = this.names.map(createStoreFaults);
    this.budgets = Array.from({ length: budgets }, (_, budget) => brandId(`quotes${budget}`));
    this.consumption = this.budgets.map(() => 0);
  }

  /** Returns what was certainly consumed of all budgets, whatever the processes know. */
  get consumed(): number {
    return this.consumption.reduce((sum, tokens) => sum + tokens, 0);
  }

  /** Plays events; returns what is wrong, if anything is. */
  async runEvents(events: readonly EscrowEvent[]): Promise<string | undefined> {
    this.names.forEach((_, vm) => this.start(vm));
    await this.timers.advance(this.options.startupMs ?? STARTUP_MS);
    for (let index = 0; index < events.length; index += 1) {
      // Events follow one another in time.
      await this.apply(events[index]!);
      if (this.isOverspent()) {
        return `event ${index}: ${this.consumption.join()} of ${this.total} tokens consumed`;
      }
    }
    await this.timers.advance(10_000);
    this.processes.forEach((run) => run.process.pause());
    return this.isOverspent()
      ? `${this.consumption.join()} of ${this.total} at the end`
      : undefined;
  }

  private isOverspent(): boolean {
    return this.consumption.some((tokens) => tokens > this.total);
  }

  private async apply(event: EscrowEvent): Promise<void> {
    switch (event.kind) {
      case 'request':
        this.request(event);
        break;
      case 'kill':
        await this.kill(event.all ? [...this.processes.keys()] : [event.vm]);
        break;
      case 'freeze':
        this.freeze(event.vm, event.forMs);
        break;
      case 'cutStore':
        this.faults.forEach((faults, vm) => {
          faults.isPartitioned ||= event.all || vm === event.vm;
        });
        break;
      case 'healStore':
        this.faults.forEach((faults) => Object.assign(faults, createStoreFaults()));
        break;
      case 'cutPeers':
        this.network.setPartitioned(getVmName(event.vm), getVmName(event.other), true);
        break;
      case 'healPeers':
        this.network.partitions.clear();
        break;
      case 'loseAnswers':
        this.faults[event.vm]!.lostAnswers = event.count;
        break;
      case 'delayAppends':
        Object.assign(this.faults[event.vm]!, { lateAppends: event.count, lateMs: event.lateMs });
        break;
      case 'slowStore':
        this.faults[event.vm]!.slowMs = event.slowMs;
        break;
      case 'forget':
        this.server.trim(TOPIC);
        break;
      case 'topUp':
        this.total += event.tokens;
        this.version += 1;
        break;
      default:
        await this.timers.advance(event.forMs);
    }
    await this.timers.advance(1);
  }

  private getTotals(): ReadonlyMap<BudgetId, VersionedTotal> {
    const total = { tokens: this.total, version: this.version };
    return new Map(this.budgets.map((budget) => [budget, total]));
  }

  private start(vm: number): void {
    this.startCount += 1;
    const name = getVmName(vm);
    const runName: Incarnation = brandId(`${name}-${this.startCount}`);
    const process = new PausableTimers(this.timers);
    const metrics = createMetrics();
    const client = new FakePeerClient(this.network, name, process);
    const extensions = new ExtensionClient({ client, vm: name, part: 0 });
    let state = this.options.seed + this.startCount;
    const random = () => {
      state = (Math.imul(state, 1_103_515_245) + 12_345) >>> 0;
      return state / 2 ** 32;
    };
    const store = new FakeStore(this.server, process, this.faults[vm]!);
    const shard = new AccountShard({
      store,
      topic: TOPIC,
      timers: process,
      logger,
      metrics,
      vm: name,
      run: runName,
      extensions,
      address: name,
      horizonMs: 8_500,
      homesMax: this.options.homesMax,
      getTotals: () => this.getTotals(),
      random,
    });
    const parts = {} as { escrow: EscrowController };
    const transfers = new TransferController({
      client,
      getPeers: (budget) => shard.getLenders(budget),
      lendTokens: (budget, need, want) => parts.escrow.lendTokens(budget, need, want),
      receiveTokens: () => {},
      timeoutMs: 100,
    });
    const escrow = new EscrowController({
      timers: process,
      logger,
      metrics,
      shards: [shard],
      homeClient: new HomeClient({ client, timers: process, logger, metrics, run: runName }),
      requestFromPeers: async (budget, need, want) =>
        (await transfers.requestTokens(budget, need, want)).tokens,
    });
    parts.escrow = escrow;
    const witness = new ExtensionWitness(runName);
    this.network.nodes.set(name, {
      process,
      isAlive: true,
      handlers: {
        'budget.transfer': (request) => transfers.lend(request),
        'budget.hold': (request) => escrow.peerHolds.hold(request),
        'budget.settle': (settlement) => escrow.peerHolds.settle(settlement),
        'escrow.extend': (request) => witness.record(request),
        'escrow.extended': (query) => witness.fence(query),
      },
    });
    const run: EscrowProcess = { process, shard, escrow, extensions, store, client };
    this.options.mutate?.(run);
    this.processes[vm] = run;
    escrow.start();
  }

  /** A request that runs for a while and then uses all that it held. */
  private request(event: EscrowEvent & { kind: 'request' }): void {
    const { vm, tokens, runMs, budget = 0 } = event;
    const run = this.processes[vm]!;
    run.process
      .whenRunning()
      .then(() => run.escrow.hold(this.budgets[budget]!, tokens))
      .then((result) => {
        if (result.kind === 'refused') {
          this.refused += 1;
          return;
        }
        this.served += 1;
        const { hold } = result;
        // Whatever becomes of the process, the endpoint may deliver all of it.
        this.consumption[budget]! += tokens;
        run.process.subscribe(runMs, () => hold.settle(tokens));
      })
      .catch((error: unknown) => {
        throw error;
      });
  }

  private async kill(vms: readonly number[]): Promise<void> {
    vms.forEach((vm) => {
      this.processes[vm]!.process.pause();
      this.network.nodes.get(getVmName(vm))!.isAlive = false;
    });
    await this.timers.advance(700);
    vms.forEach((vm) => this.start(vm));
  }

  private freeze(vm: number, forMs: number): void {
    const run = this.processes[vm]!;
    run.process.pause();
    this.timers.subscribe(forMs, () => {
      // A process that was killed meanwhile does not wake.
      if (this.processes[vm] === run && this.network.nodes.get(getVmName(vm))!.isAlive) {
        run.process.resume();
      }
    });
  }
}

function getVmName(vm: number): VmId {
  return brandId(`vm${vm}`);
}

const vm = fc.nat(VMS - 1);
const requests = fc.record({
  kind: fc.constant('request' as const),
  vm,
  tokens: fc.integer({ min: 50, max: 2_500 }),
  runMs: fc.integer({ min: 5, max: 1_500 }),
});
const waits = fc.record({
  kind: fc.constant('wait' as const),
  forMs: fc.integer({ min: 1, max: 900 }),
});

/** Events of all kinds, requests most often. */
export const escrowEvents: fc.Arbitrary<EscrowEvent[]> = fc.array(
  fc.oneof(
    { weight: 12, arbitrary: requests },
    { weight: 6, arbitrary: waits },
    {
      weight: 2,
      arbitrary: fc.record({ kind: fc.constant('kill' as const), vm, all: fc.boolean() }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('freeze' as const),
        vm,
        forMs: fc.integer({ min: 50, max: 6_000 }),
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({ kind: fc.constant('cutStore' as const), vm, all: fc.boolean() }),
    },
    { weight: 2, arbitrary: fc.constant({ kind: 'healStore' as const }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('cutPeers' as const), vm, other: vm }) },
    { weight: 1, arbitrary: fc.constant({ kind: 'healPeers' as const }) },
    {
      weight: 2,
      arbitrary: fc.record({
        kind: fc.constant('loseAnswers' as const),
        vm,
        count: fc.integer({ min: 1, max: 3 }),
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({
        kind: fc.constant('delayAppends' as const),
        vm,
        count: fc.integer({ min: 1, max: 2 }),
        lateMs: fc.integer({ min: 10, max: 5_000 }),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('slowStore' as const),
        vm,
        slowMs: fc.integer({ min: 50, max: 600 }),
      }),
    },
    { weight: 1, arbitrary: fc.constant({ kind: 'forget' as const }) },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('topUp' as const),
        tokens: fc.integer({ min: 1, max: 4_000 }),
      }),
    },
  ),
  { minLength: 20, maxLength: 120, size: 'max' },
);
