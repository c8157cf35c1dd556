import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { VirtualTimers } from '../../src/core/timers.js';
import { AdmissionQueue, type QueuedRequest } from '../../src/routing/admissionQueue.js';
import { CircuitBreaker } from '../../src/routing/circuitBreaker.js';
import { ConcurrencyLimit } from '../../src/routing/concurrencyLimit.js';
import { Endpoint } from '../../src/routing/endpoint.js';
import { PowerOfTwoChoices, PrefixAffinity, RoundRobin } from '../../src/routing/picker.js';
import { RetryBudget } from '../../src/routing/retryBudget.js';
import { SuspectController } from '../../src/controllers/suspectController.js';
import {
  brandId,
  type AvailabilityZone,
  type ServiceName,
  type VmId,
} from '../../src/types/ids.js';

const parameters = { seed: 5, numRuns: 300 };

function createEndpoints(loads: readonly number[]): Endpoint[] {
  return loads.map((inFlight, index) => {
    const info = {
      vm: brandId<VmId>(`e${index}`),
      url: '',
      service: brandId<ServiceName>('s'),
      availabilityZone: brandId<AvailabilityZone>('z'),
      slots: 100,
      fencing: false,
    };
    const endpoint = new Endpoint(info);
    endpoint.inFlight = inFlight;
    return endpoint;
  });
}

const loads = fc.array(fc.nat(20), { minLength: 1, maxLength: 12 });

test('prefix affinity stays within the load bound and keeps a prefix on its endpoint while that is a candidate', () => {
  fc.assert(
    fc.property(loads, fc.string(), (inFlight, prefix) => {
      const endpoints = createEndpoints(inFlight);
      const total = inFlight.reduce((sum, load) => sum + load, 0);
      const bound = Math.ceil((1.25 * (total + 1)) / endpoints.length);
      const picked = new PrefixAffinity().pick(endpoints, { prefix })!;
      expect(picked.inFlight < bound).toEqual(true);
      const idle = createEndpoints(inFlight.map(() => 0));
      const first = new PrefixAffinity().pick(idle, { prefix })!;
      const fewer = idle.filter((endpoint, index) => endpoint === first || index % 2 === 0);
      expect(new PrefixAffinity().pick(fewer, { prefix })).toEqual(first);
    }),
    parameters,
  );
});

test('every picker picks a candidate, or none if there is none', () => {
  const pickers = [new RoundRobin(), new PowerOfTwoChoices(() => 0.7), new PrefixAffinity()];
  fc.assert(
    fc.property(loads, (inFlight) => {
      const endpoints = createEndpoints(inFlight);
      pickers.forEach((picker) => {
        expect(endpoints.includes(picker.pick(endpoints, { prefix: 'p' })!)).toEqual(true);
        expect(picker.pick([], { prefix: 'p' })).toEqual(undefined);
      });
    }),
    parameters,
  );
});

test('retries never exceed the burst plus the ratio of successes', () => {
  fc.assert(
    fc.property(fc.array(fc.boolean(), { maxLength: 300 }), (events) => {
      const budget = new RetryBudget({ ratio: 0.1, burst: 5 });
      let successes = 0;
      let retries = 0;
      events.forEach((isSuccess) => {
        if (isSuccess) {
          successes += 1;
          budget.recordSuccess();
        } else if (budget.tryAcquire()) {
          retries += 1;
        }
        expect(retries <= 5 + successes * 0.1 + 1e-9).toEqual(true);
      });
    }),
    parameters,
  );
});

test('an open breaker lets one probe through at a time', () => {
  fc.assert(
    fc.property(
      fc.array(fc.record({ waitMs: fc.nat(2_000), success: fc.boolean() }), { maxLength: 60 }),
      (steps) => {
        const breaker = new CircuitBreaker();
        let nowMs = 0;
        [1, 2, 3].forEach(() => breaker.record(false, nowMs));
        steps.forEach(({ waitMs, success }) => {
          nowMs += waitMs;
          const isClosed = breaker.getState() === 'closed';
          if (breaker.tryEnter(nowMs)) {
            expect(isClosed || !breaker.tryEnter(nowMs)).toEqual(true);
            breaker.record(success, nowMs);
          }
        });
      },
    ),
    parameters,
  );
});

test('a concurrency limit stays between 1 and its maximum and falls when responses get slow', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(5_000), { maxLength: 100 }), (latencies) => {
      const limit = new ConcurrencyLimit({ max: 16 });
      latencies.forEach((latencyMs, index) => {
        limit.recordLatency(latencyMs, index * 100);
        expect(limit.get() >= 1 && limit.get() <= 16).toEqual(true);
      });
    }),
    parameters,
  );
  const limit = new ConcurrencyLimit({ max: 16 });
  limit.recordLatency(10, 0);
  Array.from({ length: 20 }, (_, index) => limit.recordLatency(500, 1_000 + index * 1_000));
  expect(limit.get()).toBeLessThan(4);
});

function createRequest(workspace: string, more: Partial<QueuedRequest> = {}): QueuedRequest {
  return {
    workspace: brandId(workspace),
    priority: 5,
    worth: 1,
    tokens: 100,
    deadline: Number.MAX_SAFE_INTEGER,
    signal: new AbortController().signal,
    ...more,
  };
}

function createQueue(slots: number, length = 512) {
  const timers = new VirtualTimers();
  const state = { free: slots };
  const queue = new AdmissionQueue<number>({
    timers,
    maxLength: length,
    random: () => 0.5,
    getCapacity: () => slots,
    tryAcquire: () => {
      if (state.free === 0) {
        return undefined;
      }
      state.free -= 1;
      return 1;
    },
  });
  const finish = (request: QueuedRequest, durationMs = 100) => {
    state.free += 1;
    queue.recordCompletion(request, durationMs);
  };
  return { timers, queue, finish };
}

test('the queue orders by priority, then workspaces with fewer running requests, then worth', async () => {
  const { queue, finish } = createQueue(1);
  const running = createRequest('a');
  await queue.enter(running);
  const order: string[] = [];
  const enter = (name: string, request: QueuedRequest) => {
    queue.enter(request).then(() => {
      order.push(name);
      finish(request);
    });
  };
  enter('low', createRequest('a', { priority: 1 }));
  enter('cheap', createRequest('b', { worth: 1 }));
  enter('dear', createRequest('b', { worth: 9 }));
  enter('high', createRequest('a', { priority: 9 }));
  finish(running);
  await VirtualTimers.flushPromises();
  expect(order).toEqual(['high', 'dear', 'cheap', 'low']);
});

test('a low-priority request waits for a bounded time under continuous higher-priority load', async () => {
  const { timers, queue, finish } = createQueue(1);
  let startedAt = 0;
  const busy = createRequest('a', { priority: 9 });
  await queue.enter(busy);
  queue.enter(createRequest('b', { priority: 0 })).then(() => {
    startedAt = timers.now();
  });
  const began = timers.now();
  for (let step = 0; step < 400 && startedAt === 0; step += 1) {
    queue.enter(createRequest('a', { priority: 9 }));
    await timers.advance(100);
    finish(busy);
    await VirtualTimers.flushPromises();
  }
  // 2 s of waiting for each of the nine higher priorities, and 2 s for requests of equal priority.
  expect(startedAt - began).toBeLessThan(20_500);
});

test('a request that cannot start before its deadline is refused at once with a retry-after time', async () => {
  const { timers, queue } = createQueue(1);
  await queue.enter(createRequest('a'));
  Array.from({ length: 10 }, () => queue.enter(createRequest('a')));
  const late = queue.enter(createRequest('a', { deadline: timers.now() + 5_000 }));
  const result = await late;
  expect(result.kind).toEqual('refused');
  expect(result.kind === 'refused' && result.refusal.name).toEqual('deadlineUnmeetable');
  expect(result.kind === 'refused' && result.refusal.retryAfterMs! > 500).toEqual(true);
});

test('a full queue evicts its lowest-ranked request for a higher-ranked one', async () => {
  const { queue } = createQueue(1, 2);
  await queue.enter(createRequest('a'));
  const worst = queue.enter(createRequest('a', { priority: 1 }));
  queue.enter(createRequest('a', { priority: 6 }));
  queue.enter(createRequest('a', { priority: 8 }));
  const displaced = await worst;
  expect(displaced.kind === 'refused' && displaced.refusal.name).toEqual('queueFull');
  const refused = await queue.enter(createRequest('a', { priority: 0 }));
  expect(refused.kind).toEqual('refused');
});

test('the queue never admits more requests than it has slots and answers every request', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(
        fc.record({
          workspace: fc.constantFrom('a', 'b', 'c'),
          priority: fc.nat(9),
          ms: fc.integer({ min: 1, max: 500 }),
          waitMs: fc.nat(3_000),
        }),
        { maxLength: 40 },
      ),
      async (requests) => {
        const { timers, queue, finish } = createQueue(3, 8);
        let running = 0;
        let answered = 0;
        requests.forEach(({ workspace, priority, ms, waitMs }) => {
          const request = createRequest(workspace, { priority, deadline: timers.now() + waitMs });
          queue.enter(request).then((admission) => {
            answered += 1;
            if (admission.kind === 'admitted') {
              running += 1;
              expect(running <= 3).toEqual(true);
              timers.subscribe(ms, () => {
                running -= 1;
                finish(request, ms);
              });
            }
          });
        });
        await timers.advance(30_000);
        expect(answered).toEqual(requests.length);
      },
    ),
    { ...parameters, numRuns: 100 },
  );
});

test('only the body that was in flight in two crashes is poison; bodies beside it are not', () => {
  const suspects = new SuspectController();
  suspects.recordCrash(['bad', 'a', 'b']);
  expect(suspects.isSuspect('a')).toEqual(true);
  suspects.recordCrash(['bad', 'c']);
  expect(['bad', 'a', 'b', 'c'].filter((digest) => suspects.isPoison(digest))).toEqual(['bad']);
  expect(suspects.isSuspect('c')).toEqual(false);
  suspects.recordSuccess('a');
  expect(suspects.isSuspect('a')).toEqual(false);
});
