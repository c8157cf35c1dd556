/** Failure: endpoints that had named a limit got far more calls, from all gateways together. */
import { test } from 'node:test';
import { expect } from 'earl';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createLogger } from '../../src/core/logging.js';
import { VirtualTimers } from '../../src/core/timers.js';
import { EndpointDirectory } from '../../src/gateway/endpointDirectory.js';
import { LimitController } from '../../src/gateway/limits/limitController.js';
import { getGatewayRank, getRateShare } from '../../src/gateway/limits/rateShare.js';
import type { NamedLimit } from '../../src/types/gateway.js';
import { brandId, type VmId } from '../../src/types/ids.js';
import { createEndpointEntry, ENTRY_SERVICE } from '../support/endpointEntries.js';
import { FakeNetwork, FakePeerClient } from '../support/fakePeers.js';
import { PausableTimers } from '../support/pausableTimers.js';

const WINDOW_MS = 4_000;
const TOLD_MS = 500;
const STABLE_MS = 3_000;
const STEP_MS = 10;
const USE_MS = 40_000;

const entry = createEndpointEntry();

interface LimitFleetOptions {
  readonly size: number;
  readonly seed: number;
  /** Calls per second that each gateway would send to the endpoint. */
  readonly demandPerSecond: number;
  readonly isPartitioned?: boolean;
}

/** Gateways before one endpoint, whose responses take some time and say what `limit` holds when they are sent. */
class LimitFleet {
  readonly timers = new VirtualTimers();

  limit: NamedLimit = { kind: 'none' };

  /** Calls that reached the endpoint from gateways that it had told long enough before. */
  readonly countedAt: number[] = [];

  sentCount = 0;

  private readonly random: () => number;

  readonly gateways: {
    readonly directory: EndpointDirectory;
    readonly limits: LimitController;
    toldAt: number;
  }[];

  constructor(private readonly options: LimitFleetOptions) {
    const { timers } = this;
    const generator = xoroshiro128plus(options.seed);
    this.random = () => uniformFloat64(generator);
    const network = new FakeNetwork(timers);
    const names = Array.from({ length: options.size }, (_, index) => brandId<VmId>(`vm-${index}`));
    const logger = createLogger({ level: 'error', format: 'json' });
    this.gateways = names.map((vm) => {
      const process = new PausableTimers(timers);
      const directory = new EndpointDirectory({ logger, timers: process });
      directory.apply(entry, brandId(1));
      const limits = new LimitController({
        timers: process,
        logger,
        client: new FakePeerClient(network, vm, process),
        directory,
        vm,
        getFleet: () => names,
        getPeers: () => names.filter((name) => name !== vm),
        random: this.random,
      });
      network.nodes.set(vm, {
        process,
        handlers: { 'gateway.limits': (request) => limits.exchange(request) },
        isAlive: options.isPartitioned !== true,
      });
      return { directory, limits, toldAt: Number.POSITIVE_INFINITY };
    });
  }

  async run(durationMs: number): Promise<void> {
    const { timers } = this;
    const end = timers.now() + durationMs;
    while (timers.now() < end) {
      this.gateways.forEach((_, index) => this.sendCalls(index));
      await timers.advance(STEP_MS);
    }
  }

  stop(): void {
    this.gateways.forEach(({ limits }) => limits.stop());
  }

  /** Returns the most counted calls in any window that ends after a time. */
  getMostInWindow(fromMs: number): number {
    const counted = this.countedAt.filter((at) => at >= fromMs);
    return Math.max(
      0,
      ...counted.map(
        (start) => counted.filter((at) => at >= start && at < start + WINDOW_MS).length,
      ),
    );
  }

  private sendCalls(index: number): void {
    const { timers, random, options } = this;
    const gateway = this.gateways[index]!;
    const [endpoint] = gateway.directory.getEndpoints(ENTRY_SERVICE);
    const isWanted = random() < (options.demandPerSecond * STEP_MS) / 1_000;
    if (!isWanted || !endpoint!.isEligible(timers.now())) {
      return;
    }
    const sentAt = timers.now();
    endpoint!.limit.take(sentAt);
    this.sentCount += 1;
    if (sentAt >= gateway.toldAt + TOLD_MS) {
      this.countedAt.push(sentAt);
    }
    timers.subscribe(20 + random() * 300, () => {
      const { limit } = this;
      timers.subscribe(1, () => {
        if (limit.kind === 'named') {
          gateway.toldAt = Math.min(gateway.toldAt, timers.now());
        }
        gateway.limits.recordResponse(endpoint!, { limit, isSuccess: true, sentAt });
      });
    });
  }
}

function getAllowed(limitPerSecond: number): number {
  return 1.5 * limitPerSecond * (WINDOW_MS / 1_000) + 5;
}

[
  { size: 1, limits: [0.5, 3, 40] },
  { size: 9, limits: [0, 0.5, 2.9, 4.9, 40] },
  { size: 86, limits: [0, 0.4, 1.7, 10] },
  { size: 195, limits: [1.7] },
].forEach(({ size, limits }) =>
  limits.forEach((limitPerSecond) => {
    const name = `${size} gateways keep to a limit of ${limitPerSecond} calls a second together, and use it`;
    test(name, async () => {
      const demandPerSecond = Math.max(2, (limitPerSecond * 4) / size);
      const fleet = new LimitFleet({ size, seed: size, demandPerSecond });
      await fleet.run(1_000);
      fleet.limit = { kind: 'named', perSecond: limitPerSecond };
      const namedAt = fleet.timers.now();
      await fleet.run(STABLE_MS + 5_000);
      const sentBefore = fleet.sentCount;
      await fleet.run(USE_MS);
      expect(fleet.getMostInWindow(namedAt + STABLE_MS)).toBeLessThanOrEqual(
        getAllowed(limitPerSecond),
      );
      const usedShare =
        (fleet.sentCount - sentBefore) / ((USE_MS / 1_000) * Math.max(limitPerSecond, 0.25));
      expect(usedShare).toBeGreaterThan(0.75);
      fleet.stop();
    });
  }),
);

test('a limit binds gateways that can reach neither each other nor the store', async () => {
  const fleet = new LimitFleet({ size: 86, seed: 5, demandPerSecond: 2, isPartitioned: true });
  fleet.limit = { kind: 'named', perSecond: 1.7 };
  const namedAt = fleet.timers.now();
  await fleet.run(20_000);
  expect(fleet.getMostInWindow(namedAt + STABLE_MS)).toBeLessThanOrEqual(getAllowed(1.7));
  fleet.stop();
});

test('a limit that falls binds within the tolerance, and all gateways send again soon after its end', async () => {
  const fleet = new LimitFleet({ size: 86, seed: 6, demandPerSecond: 2 });
  fleet.limit = { kind: 'named', perSecond: 10 };
  await fleet.run(8_000);
  fleet.limit = { kind: 'named', perSecond: 2 };
  const fallenAt = fleet.timers.now();
  await fleet.run(12_000);
  expect(fleet.getMostInWindow(fallenAt + STABLE_MS)).toBeLessThanOrEqual(getAllowed(2));
  fleet.limit = { kind: 'none' };
  await fleet.run(5_000);
  const sentBefore = fleet.sentCount;
  await fleet.run(2_000);
  expect(fleet.sentCount - sentBefore).toBeGreaterThan(86 * 2 * 2 * 0.75);
  fleet.stop();
});

test('an older word that a peer tells late does not bring back a limit that has ended', async () => {
  const fleet = new LimitFleet({ size: 2, seed: 7, demandPerSecond: 0 });
  const [told, other] = fleet.gateways;
  const record = (limit: NamedLimit) =>
    told!.limits.recordResponse(told!.directory.get(entry.id)!, {
      limit,
      isSuccess: true,
      sentAt: fleet.timers.now(),
    });
  record({ kind: 'named', perSecond: 3 });
  other!.limits.exchange(told!.limits.exchange({ words: [] }));
  const late = other!.limits.exchange({ words: [] });
  await fleet.timers.advance(100);
  record({ kind: 'none' });
  await fleet.timers.advance(300);
  told!.limits.exchange(late);
  await fleet.timers.advance(1_000);
  expect(told!.directory.get(entry.id)!.limit.isInForce()).toEqual(false);
  expect(other!.directory.get(entry.id)!.limit.isInForce()).toEqual(false);
  fleet.stop();
});

test('the parts of all gateways add up to the limit, and what they hold ready stays within the tolerance', () => {
  const fleet = Array.from({ length: 86 }, (_, index) => `vm-${index}`);
  [0.3, 1, 1.7, 5, 50, 1_000].forEach((limitPerSecond) => {
    const shares = fleet.map((vm) => getRateShare(limitPerSecond, getGatewayRank('e', vm, fleet)));
    const rate = shares.reduce((sum, { ratePerSecond }) => sum + ratePerSecond, 0);
    const ready = shares
      .filter(({ ratePerSecond }) => ratePerSecond > 0)
      .reduce((sum, { size }) => sum + size, 0);
    expect(Math.abs(rate - limitPerSecond)).toBeLessThan(1e-6);
    expect(ready).toBeLessThanOrEqual(5 + 2 * limitPerSecond);
  });
});

test('an endpoint whose entry has expired and come back, or has moved, keeps its limit', () => {
  const timers = new VirtualTimers();
  const directory = new EndpointDirectory({
    logger: createLogger({ level: 'error', format: 'json' }),
    timers,
  });
  const isEligible = () => directory.getEndpoints(ENTRY_SERVICE)[0]!.isEligible(timers.now());
  directory.apply(entry, brandId(1));
  const rank = { rank: 0, fleetSize: 9 };
  const word = { limitPerSecond: 3, version: 1 };
  directory.get(entry.id)!.limit.apply(word, () => rank, timers.now());
  directory.remove(entry.id, brandId(2));
  directory.apply({ ...entry, sequence: 2 }, brandId(3));
  expect(isEligible()).toEqual(false);
  directory.apply({ ...entry, sequence: 3, port: 81 }, brandId(4));
  expect(isEligible()).toEqual(false);
  directory.apply({ ...entry, startedAtMs: 200 }, brandId(5));
  expect(isEligible()).toEqual(true);
});

test('a gateway that the fleet does not list yet has no part', () => {
  expect(getRateShare(3, getGatewayRank('e', 'new', ['vm-1']))).toEqual({
    ratePerSecond: 0,
    size: 1,
  });
});
