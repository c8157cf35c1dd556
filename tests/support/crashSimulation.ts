/**
 * Gateways and endpoints on virtual time, some of whose calls crash endpoints. Calls of one route share a first part, some
 * share a second one, and each has a last one of its own. Endpoints take calls one after the other.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { createLogger } from '../../src/core/logging.js';
import { createMetrics } from '../../src/core/metrics.js';
import { VirtualTimers } from '../../src/core/timers.js';
import { getHash32 } from '../../src/core/utilities.js';
import { EndpointProbe } from '../../src/poison/endpointProbe.js';
import { getCallFeature, getPartFeatures } from '../../src/poison/features.js';
import { PoisonController } from '../../src/poison/poisonController.js';
import type { Address, EndpointEntry, RouteName } from '../../src/types/gateway.js';
import { brandId, type VmId } from '../../src/types/ids.js';
import type { Result } from '../../src/core/results.js';
import type { Feature } from '../../src/types/poison.js';
import type { KeyedPage, KeyedReadOptions, StoreFailure } from '../../src/types/store.js';
import { FakeNetwork, FakePeerClient } from './fakePeers.js';
import { createStoreFaults, FakeStore, FakeStoreServer, type StoreFaults } from './fakeStore.js';
import { PausableTimers } from './pausableTimers.js';

/** Options of a simulation. */
export interface CrashSimulationOptions {
  readonly seed: number;
  readonly vmCount: number;
  readonly endpointCount: number;
  readonly callsPerSecond: number;
  /** Share of calls with the poisonous part from `poisonFromMs` on. Default 0. */
  readonly poisonShare?: number;
  /** Default 5,000. */
  readonly poisonFromMs?: number;
  /** Crashes of endpoints per second that no call causes. Default 0. */
  readonly crashesPerSecond?: number;
  /** How often a call is sent to a further endpoint after a crash. Default 0. */
  readonly retries?: number;
  /** Time that an endpoint takes to begin a call, in milliseconds. Default 100. */
  readonly serviceMs?: number;
}

const ROUTE: RouteName = brandId('chat');
const POISONOUS_PART = 'dead';
const SHARED_PART_COUNT = 40;
const RESTART_MS = 3_000;
const TOPIC = { name: 'poison', part: 0 };
const ANSWER_MS = 50;
const STORE_POLL_MS = 100;

/** A process of a gateway. */
interface SimulatedVm {
  readonly id: VmId;
  readonly process: PausableTimers;
  readonly controller: PoisonController;
  readonly storeFaults: StoreFaults;
}

/** One endpoint, which a crash replaces by a later start. */
interface SimulatedEndpoint {
  entry: EndpointEntry;
  isListening: boolean;
  /** Calls in the order in which they will begin. */
  queue: SimulatedCall[];
}

interface SimulatedCall {
  readonly vm: SimulatedVm;
  readonly features: readonly Feature[];
  readonly isPoisonous: boolean;
  retriesLeft: number;
}

/** The simulation. */
export class CrashSimulation {
  readonly timers = new VirtualTimers();

  readonly network = new FakeNetwork(this.timers);

  readonly store = new FakeStoreServer(this.timers);

  readonly vms: SimulatedVm[] = [];

  readonly route = ROUTE;

  readonly poisonousFeatures = getPartFeatures(
    ['system', POISONOUS_PART, 'own'].map((id) => ({ id, tokens: 10 })),
  );

  /** Times of the crashes that poisonous calls caused. */
  readonly poisonCrashedAt: number[] = [];

  /** Times at which poisonous calls were sent to endpoints. */
  readonly poisonSentAt: number[] = [];

  refusedPoisonCount = 0;

  refusedHarmlessCount = 0;

  answeredCount = 0;

  private readonly endpoints: SimulatedEndpoint[] = [];

  private readonly generator;

  private callCount = 0;

  constructor(private readonly options: CrashSimulationOptions) {
    this.generator = xoroshiro128plus(options.seed);
    for (let index = 0; index < options.endpointCount; index += 1) {
      this.endpoints.push({
        entry: createEntry(`e${index}`, 1),
        isListening: true,
        queue: [],
      });
    }
    for (let index = 0; index < options.vmCount; index += 1) {
      this.startVm(brandId(`vm${index}`));
    }
  }

  /** Runs for a time. */
  async run(durationMs: number): Promise<void> {
    const end = this.timers.now() + durationMs;
    this.scheduleNext(end, this.options.callsPerSecond, () => this.sendCall());
    this.scheduleNext(end, this.options.crashesPerSecond ?? 0, () =>
      this.crash(this.pick(this.endpoints)),
    );
    await this.timers.advance(durationMs);
  }

  /** Returns the entry of an endpoint. */
  getEntry(index: number): EndpointEntry {
    return this.endpoints[index]!.entry;
  }

  /** Ends a process and starts another one on the same vm. */
  restartVm(index: number): void {
    const vm = this.vms[index]!;
    vm.process.pause();
    vm.controller.stop();
    this.vms.splice(index, 1);
    this.startVm(vm.id);
  }

  private startVm(id: VmId): void {
    const process = new PausableTimers(this.timers);
    const storeFaults = createStoreFaults();
    const controller = new PoisonController({
      store: new LongPollStore(this.store, process, storeFaults),
      topic: TOPIC,
      timers: process,
      logger: createLogger({ level: 'error' }),
      metrics: createMetrics(),
      client: new FakePeerClient(this.network, id, process),
      probe: new SimulatedProbe(this.endpoints),
      vm: id,
      getPeers: () => this.vms.map((vm) => vm.id).filter((other) => other !== id),
      getCoordinators: () => this.vms.slice(0, 6).map((vm) => vm.id),
      broadcast: (pattern) =>
        this.vms
          .filter((other) => other.id !== id && !this.network.isPartitioned(id, other.id))
          .forEach((other) => other.controller.patterns.add(pattern, 'peer')),
      random: () => this.draw(),
    });
    const handlers = controller.createPeerHandlers();
    this.network.nodes.set(id, { process, handlers, isAlive: true });
    this.vms.push({ id, process, controller, storeFaults });
    controller.start();
  }

  private scheduleNext(end: number, perSecond: number, act: () => void): void {
    if (perSecond <= 0) {
      return;
    }
    const delayMs = (-Math.log(1 - this.draw()) * 1_000) / perSecond;
    if (this.timers.now() + delayMs < end) {
      this.timers.subscribe(delayMs, () => {
        act();
        this.scheduleNext(end, perSecond, act);
      });
    }
  }

  private sendCall(): void {
    const { poisonShare = 0, poisonFromMs = 5_000, retries = 0 } = this.options;
    const elapsedMs = this.timers.now() - new VirtualTimers().now();
    const isPoisonous = elapsedMs >= poisonFromMs && this.draw() < poisonShare;
    const sharedPart = isPoisonous ? 0 : Math.floor(this.draw() * SHARED_PART_COUNT);
    this.callCount += 1;
    const parts = [
      'system',
      `book${sharedPart}`,
      ...(isPoisonous ? [POISONOUS_PART] : []),
      `own${this.callCount}`,
    ];
    const body = Buffer.from(String(this.callCount));
    const features = [
      ...getPartFeatures(parts.map((id) => ({ id, tokens: 10 }))),
      getCallFeature({ method: 'POST', target: '/', workspace: '', body }),
    ];
    this.forward({ vm: this.pick(this.vms), features, isPoisonous, retriesLeft: retries });
  }

  private forward(call: SimulatedCall): void {
    if (call.vm.controller.getRefusalMs(() => call.features) !== undefined) {
      this.refusedPoisonCount += call.isPoisonous ? 1 : 0;
      this.refusedHarmlessCount += call.isPoisonous ? 0 : 1;
      return;
    }
    const listening = this.endpoints.filter(({ isListening }) => isListening);
    if (listening.length === 0) {
      return;
    }
    if (call.isPoisonous) {
      this.poisonSentAt.push(this.timers.now());
    }
    // Two of three calls go to the endpoint that their second part prefers.
    const preferred = listening[getHash32(call.features[1]!) % listening.length]!;
    const endpoint = this.draw() < 0.67 ? preferred : this.pick(listening);
    endpoint.queue.push(call);
    if (endpoint.queue.length === 1) {
      this.scheduleBegin(endpoint);
    }
  }

  private scheduleBegin(endpoint: SimulatedEndpoint): void {
    const { serviceMs = 100 } = this.options;
    const { entry } = endpoint;
    this.timers.subscribe(serviceMs * (0.5 + this.draw()), () => {
      if (endpoint.entry === entry) {
        this.begin(endpoint);
      }
    });
  }

  private begin(endpoint: SimulatedEndpoint): void {
    const [call] = endpoint.queue;
    if (call!.isPoisonous) {
      this.poisonCrashedAt.push(this.timers.now());
      this.crash(endpoint);
      return;
    }
    endpoint.queue.shift();
    this.answeredCount += 1;
    this.timers.subscribe(ANSWER_MS, () =>
      call!.vm.controller.recordAnswered({ route: ROUTE, features: call!.features }),
    );
    if (endpoint.queue.length > 0) {
      this.scheduleBegin(endpoint);
    }
  }

  private crash(endpoint: SimulatedEndpoint): void {
    if (!endpoint.isListening) {
      return;
    }
    const { entry, queue } = endpoint;
    Object.assign(endpoint, {
      isListening: false,
      queue: [],
      entry: createEntry(entry.id, entry.startedAtMs + 1),
    });
    queue.forEach((call) => {
      call.vm.controller.recordBroken(entry, { route: ROUTE, features: call.features });
      if (call.retriesLeft > 0) {
        this.forward({ ...call, retriesLeft: call.retriesLeft - 1 });
      }
    });
    this.timers.subscribe(RESTART_MS, () => {
      Object.assign(endpoint, { isListening: true });
    });
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.draw() * items.length)]!;
  }

  private draw(): number {
    return uniformFloat64(this.generator);
  }
}

/** A store whose reads wait for records. */
class LongPollStore extends FakeStore {
  override async read(options: KeyedReadOptions): Promise<Result<KeyedPage, StoreFailure>> {
    const { topic, from, waitMs } = options;
    const { timers } = this.server;
    const end = timers.now() + waitMs;
    while (this.server.getRecords(topic).length <= from && timers.now() < end) {
      // Sequential: each poll waits for the previous one.
      await timers.sleep(STORE_POLL_MS);
    }
    return super.read(options);
  }
}

/** Reports the simulated state of endpoints. */
class SimulatedProbe extends EndpointProbe {
  constructor(private readonly endpoints: readonly SimulatedEndpoint[]) {
    super();
  }

  override isListening({ port }: Address): Promise<boolean> {
    return Promise.resolve(
      this.endpoints.some(({ entry, isListening }) => entry.port === port && isListening),
    );
  }
}

function createEntry(id: string, startedAtMs: number): EndpointEntry {
  return {
    id: brandId(id),
    startedAtMs,
    sequence: 1,
    service: brandId('engines'),
    host: '127.0.0.1',
    port: Number(id.slice(1)),
    availabilityZone: brandId('z'),
    slots: 8,
    state: 'ready',
    warmupMs: 0,
  };
}
