import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { createLogger } from '../../src/core/logging.js';
import { VirtualTimers } from '../../src/core/timers.js';
import {
  getAllotmentTarget,
  planAllotment,
  type AllotmentInputs,
} from '../../src/escrow/allotmentPlan.js';
import { DemandRate } from '../../src/escrow/demandRate.js';
import { EndpointDirectory } from '../../src/gateway/endpointDirectory.js';
import { getUsedTokens } from '../../src/gateway/filters/holdTokens.js';
import { EventSplitter } from '../../src/gateway/forward/eventSplitter.js';
import { ServiceRetryBudget } from '../../src/gateway/forward/serviceRetryBudget.js';
import { isRetryAllowed, type RetryContext } from '../../src/gateway/forward/retryPolicy.js';
import { choosePlacement, type PlacementCandidate } from '../../src/gateway/placement.js';
import { chooseService, RouteTable } from '../../src/gateway/routeTable.js';
import type { Route } from '../../src/types/gateway.js';
import { brandId, type ServiceName } from '../../src/types/ids.js';
import { at, createEndpointEntry } from '../support/endpointEntries.js';

const logger = createLogger({ level: 'error' });

function createRoute(prefix: string, host = 'h'): Route {
  return {
    name: brandId(prefix),
    host,
    prefix,
    split: [
      { service: brandId('a'), weight: 90 },
      { service: brandId('b'), weight: 10 },
    ],
    isStream: false,
    repeatability: 'once',
    attempts: 1,
    timeoutMs: 1_000,
    latencyTargetMs: 100,
    eventGapTargetMs: 0,
    rank: 0,
    isPublic: false,
  };
}

test('a path matches the route with the longest prefix on its host', () => {
  const table = new RouteTable(['/', '/a/', '/a/b/'].map((prefix) => createRoute(prefix)));
  expect(table.find('h', '/a/b/c')?.prefix).toEqual('/a/b/');
  expect(table.find('h', '/a/b')?.prefix).toEqual('/a/');
  expect(table.find('h', '/x')?.prefix).toEqual('/');
  expect(table.find('other', '/a/')).toEqual(undefined);
  expect(new RouteTable([createRoute('/a/')]).find('h', '/b/')).toEqual(undefined);
});

test('a service is chosen by its weight', () => {
  const route = createRoute('/');
  expect(chooseService(route, 0.89)).toEqual(brandId<ServiceName>('a'));
  expect(chooseService(route, 0.91)).toEqual(brandId<ServiceName>('b'));
});

test('events are complete and in order wherever the chunk boundaries are', () => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\ndata: half';
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 60 }), (chunkLengths) => {
      const splitter = new EventSplitter();
      const events: (string | undefined)[] = [];
      let received = '';
      let start = 0;
      [...chunkLengths, text.length].forEach((length) => {
        splitter.push(Buffer.from(text.slice(start, start + length))).forEach(({ id, bytes }) => {
          events.push(id);
          received += bytes.toString();
        });
        start += length;
      });
      expect(events).toEqual(['1', '2', undefined]);
      expect(received + splitter.getRemainder().toString()).toEqual(text);
    }),
    { seed: 4, numRuns: 200 },
  );
});

const retryContext: RetryContext = {
  failure: 'broken',
  repeatability: 'repeatable',
  maxRuns: 2,
  runCount: 1,
  attemptCount: 1,
  hasSentEvents: false,
  canResume: false,
  timeLeftMs: 1_000,
};

test('a non-repeatable call that may have been executed is never sent again', () => {
  const failures = ['broken', 'crossed', 'notGenuine', 'serverError', 'silent'] as const;
  failures.forEach((failure) => {
    expect(
      isRetryAllowed({ ...retryContext, failure, repeatability: 'once', runCount: 0 }),
    ).toEqual(false);
  });
  expect(isRetryAllowed({ ...retryContext, failure: 'refused', repeatability: 'once' })).toEqual(
    true,
  );
});

test('executions are limited by the route, and a started stream resumes only after a known event id', () => {
  expect(isRetryAllowed(retryContext)).toEqual(true);
  expect(isRetryAllowed({ ...retryContext, runCount: 2 })).toEqual(false);
  const started = { ...retryContext, repeatability: 'resumable', hasSentEvents: true } as const;
  expect(isRetryAllowed({ ...started, canResume: true })).toEqual(true);
  expect(isRetryAllowed(started)).toEqual(false);
  expect(isRetryAllowed({ ...retryContext, timeLeftMs: 5 })).toEqual(false);
});

test('retries of all routers together stay within the ratio and the burst when every call fails', () => {
  const routers = 6;
  const budgets = Array.from(
    { length: routers },
    () =>
      new ServiceRetryBudget({
        windowMs: 10_000,
        ratio: 0.2,
        burst: 52,
        getRouterCount: () => routers,
      }),
  );
  const retries: number[] = [];
  const calls: number[] = [];
  for (let ms = 0; ms < 30_000; ms += 10) {
    const budget = budgets[(ms / 10) % routers]!;
    calls.push(ms);
    budget.recordCall(ms);
    for (let attempt = 0; attempt < 3 && budget.tryAcquire(ms); attempt += 1) {
      retries.push(ms);
    }
  }
  for (let windowStart = 0; windowStart < 20_000; windowStart += 500) {
    const isIn = (ms: number) => ms >= windowStart && ms < windowStart + 10_000;
    expect(retries.filter(isIn).length).toBeLessThanOrEqual(calls.filter(isIn).length * 0.2 + 52);
  }
  expect(retries.length).toBeGreaterThan(100);
});

function createCandidates(pendingTokens: readonly number[]): PlacementCandidate[] {
  return pendingTokens.map((pendingPrefillTokens, index) => ({
    id: `e${index}`,
    availabilityZone: index % 2 === 0 ? 'a' : 'b',
    slots: 64,
    inFlight: 0,
    pendingPrefillTokens,
  }));
}

const promptParts = [
  { id: 'system', tokens: 500 },
  { id: 'shop', tokens: 5_000 },
  { id: 'own', tokens: 900 },
];

test('prompts with a shared part go to one endpoint until its pending prefill exceeds the shared tokens', () => {
  const call = { promptParts, availabilityZone: 'a' };
  const idle = createCandidates([0, 0, 0, 0, 0]);
  const preferred = choosePlacement(idle, call, () => 0);
  const busy = idle.map((candidate, index) =>
    index === preferred ? { ...candidate, pendingPrefillTokens: 5_400 } : candidate,
  );
  expect(choosePlacement(busy, call, () => 0)).toEqual(preferred);
  const overloaded = idle.map((candidate, index) =>
    index === preferred ? { ...candidate, pendingPrefillTokens: 5_600 } : candidate,
  );
  expect(choosePlacement(overloaded, call, () => 0)).not.toEqual(preferred);
  const other = {
    ...call,
    promptParts: [promptParts[0]!, { id: 'shop', tokens: 9 }, { id: 'x', tokens: 1 }],
  };
  expect(choosePlacement(idle, other, () => 0)).toEqual(preferred);
});

test('calls without a prompt go to the least loaded endpoint, and to the same zone on equal load', () => {
  const call = { promptParts: [], availabilityZone: 'b' };
  const candidates = createCandidates([0, 0, 0]);
  expect(choosePlacement(candidates, call, () => 0)).toEqual(1);
  const busy = candidates.map((candidate, index) =>
    index === 1 ? { ...candidate, inFlight: 5 } : candidate,
  );
  expect(choosePlacement(busy, call, () => 0)).toEqual(0);
  expect(choosePlacement([], call, () => 0)).toEqual(-1);
});

const allotment: AllotmentInputs = {
  total: 100_000,
  claimed: 50_000,
  remaining: 60_000,
  free: 0,
  freeActivated: 0,
  isHome: true,
  hasWitnesses: true,
  expectedSpending: 4_000,
  coverage: 1,
  imminentSpending: 800,
  meanHold: 500,
  spendingShare: 0.25,
  needed: 0,
  othersShortfall: 0,
};

test('claimed tokens never exceed the total, and activated tokens never exceed claimed ones', () => {
  const amount = fc.nat(100_000);
  fc.assert(
    fc.property(
      fc.record({
        total: amount,
        claimed: amount,
        remaining: amount,
        free: fc.nat(20_000),
        freeActivated: fc.nat(20_000),
        isHome: fc.boolean(),
        hasWitnesses: fc.boolean(),
        expectedSpending: amount,
        coverage: fc.double({ min: 0.1, max: 1, noNaN: true }),
        imminentSpending: amount,
        meanHold: fc.nat(60_000),
        spendingShare: fc.double({ min: 0, max: 1, noNaN: true }),
        needed: fc.nat(80_000),
        othersShortfall: fc.nat(80_000),
      }),
      (generated) => {
        const inputs = {
          ...generated,
          freeActivated: Math.min(generated.freeActivated, generated.free),
        };
        const plan = planAllotment(inputs);
        expect(plan.claimed <= Math.max(0, inputs.total - inputs.claimed)).toEqual(true);
        expect(inputs.free + plan.claimed >= 0).toEqual(true);
        expect(inputs.freeActivated + plan.activated <= inputs.free + plan.claimed).toEqual(true);
        expect(inputs.freeActivated + plan.activated >= 0).toEqual(true);
        expect(Number.isInteger(plan.claimed) && Number.isInteger(plan.activated)).toEqual(true);
      },
    ),
    { seed: 5, numRuns: 2_000 },
  );
});

test('an idle holder returns the tokens that others lack and does not claim them again', () => {
  const inputsWithShortfall = {
    ...allotment,
    claimed: 100_000,
    free: 3_000,
    freeActivated: 600,
    othersShortfall: 8_000,
  };
  expect(planAllotment(inputsWithShortfall).claimed).toEqual(-2_500);
  const inputs = { ...inputsWithShortfall, claimed: 97_500, free: 500, freeActivated: 500 };
  expect(planAllotment(inputs).claimed <= 0).toEqual(true);
});

// Failure: the needs of calls that are far larger than a total add up to a shortfall that no account record can hold.
test('a stated shortfall is at most the total, and other holders return as much for it as for a larger one', () => {
  const { shortfall } = planAllotment({ ...allotment, needed: 2 ** 60 });
  expect(shortfall).toEqual(allotment.total);
  const returned = [shortfall, 2 ** 60].map((othersShortfall) =>
    planAllotment({ ...allotment, claimed: allotment.total, free: 3_000, othersShortfall }),
  );
  expect(returned[0]).toEqual(returned[1]);
});

// Failure: a fraction of a token is spent, and no account record can hold it.
test('a call is charged whole tokens, also if its service states a fraction for each event', () => {
  const used = [0, 7.5, 99.5, 250].map((delivered) =>
    getUsedTokens({ prompt: 900, maxOutput: 100 }, delivered),
  );
  expect(used).toEqual([0, 908, 1_000, 1_000]);
});

test('all holders together claim at most half of the remaining tokens, whatever spending they expect', () => {
  const target = getAllotmentTarget({ ...allotment, expectedSpending: 1_000_000 });
  expect(target / allotment.spendingShare).toBeLessThanOrEqual(allotment.remaining / 2);
});

test('a vm with few large requests activates the needed tokens and the spending expected within two seconds', () => {
  const largeRequests = { ...allotment, free: 30_000, expectedSpending: 4_000, meanHold: 9_000 };
  expect(planAllotment({ ...largeRequests, needed: 9_000 }).activated).toEqual(9_800);
  // Unused activated tokens are deactivated, because they would be lost in a crash.
  expect(planAllotment({ ...largeRequests, freeActivated: 5_000 }).activated).toEqual(-4_200);
});

test('a holder claims little just after the store has become available again', () => {
  const idle = { ...allotment, expectedSpending: 0 };
  const early = getAllotmentTarget({ ...idle, coverage: 0.2 });
  expect(early).toBeLessThanOrEqual(getAllotmentTarget(idle) / 4);
});

test('the demand estimate is accurate from the first seconds of a steady load', () => {
  const rate = new DemandRate(8_500);
  for (let ms = 0; ms <= 5_000; ms += 100) {
    rate.add(100, ms);
  }
  const tokensPerSecond = rate.getTokensPerSecond(5_000);
  expect(tokensPerSecond).toBeGreaterThan(900);
  expect(tokensPerSecond).toBeLessThan(1_150);
});

const entry = createEndpointEntry({ sequence: 2 });

function createDirectory(timers = new VirtualTimers()): EndpointDirectory {
  return new EndpointDirectory({ logger, timers });
}

test('an older entry of an endpoint is ignored, and a later start is a new instance', () => {
  const directory = createDirectory();
  directory.apply({ ...entry, state: 'leaving' }, at(1));
  directory.apply({ ...entry, sequence: 1 }, at(2));
  expect(directory.getEndpoints(entry.service)[0]?.isLeaving).toEqual(true);
  directory.apply({ ...entry, startedAtMs: 200, sequence: 0 }, at(3));
  expect(directory.getEndpoints(entry.service).map(({ isLeaving }) => isLeaving)).toEqual([false]);
  directory.apply({ ...entry, startedAtMs: 100, sequence: 9, state: 'leaving' }, at(4));
  expect(directory.getEndpoints(entry.service).map(({ isLeaving }) => isLeaving)).toEqual([false]);
});

test('an endpoint whose address responds as another one gets no calls until it restarts', () => {
  const directory = createDirectory();
  directory.apply(entry, at(1));
  directory.markEnded(directory.getEndpoints(entry.service)[0]!, 'replaced');
  directory.remove(entry.id, at(2));
  directory.apply({ ...entry, sequence: 5 }, at(3));
  expect(directory.getEndpoints(entry.service)[0]?.isLeaving).toEqual(true);
  directory.apply({ ...entry, startedAtMs: 300 }, at(4));
  expect(directory.getEndpoints(entry.service)[0]?.isLeaving).toEqual(false);
});

test('an entry that expired in an outage may be renewed within the grace period; others are removed', async () => {
  const timers = new VirtualTimers();
  const directory = createDirectory(timers);
  directory.apply(entry, at(1));
  directory.apply({ ...entry, id: brandId('f') }, at(2));
  directory.retain(new Set(), at(3), 2_000);
  await timers.advance(1_000);
  directory.apply({ ...entry, sequence: 3 }, at(3));
  await timers.advance(1_500);
  expect(directory.getEndpoints(entry.service).map(({ entry: { id } }) => id)).toEqual([entry.id]);
  directory.retain(new Set(), at(4));
  expect(directory.getSize()).toEqual(0);
});
