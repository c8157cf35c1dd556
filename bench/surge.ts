/**
 * A 60 s surge to ten times the quiet load with one engine in four down: worth served against a bound
 * on what the capacity allows, and against first come, first served. The real queue on virtual time.
 */
import { VirtualTimers } from '../src/core/timers.js';
import { AdmissionQueue, type QueuedRequest } from '../src/routing/admissionQueue.js';
import { brandId, type WorkspaceId } from '../src/types/ids.js';
import { createRandom, round, type Bench, type Row, type Table } from './support.js';

/** One kind of request. */
interface RequestKind {
  readonly name: string;
  readonly share: number;
  readonly tokens: number;
  readonly worth: number;
  readonly priority: number;
  readonly deadlineMs: number;
}

const REQUEST_KINDS: readonly RequestKind[] = [
  { name: 'quote', share: 0.5, tokens: 150, worth: 10, priority: 5, deadlineMs: 8_000 },
  { name: 'tag', share: 0.4, tokens: 20, worth: 1, priority: 5, deadlineMs: 5_000 },
  { name: 'review', share: 0.1, tokens: 1_500, worth: 30, priority: 5, deadlineMs: 120_000 },
];

/** Engines of each user, from the brief. */
const DEPLOYMENTS = [
  { name: 'Tallerandino', engines: 13 },
  { name: 'Jinfeng', engines: 8 },
];
const SLOTS_PER_ENGINE = 8;
const TOKEN_INTERVAL_MS = 20;
const BASELINE_UTILIZATION = 0.25;
const SURGE_FACTOR = 10;
const BASELINE_MS = 60_000;
const SURGE_MS = 60_000;
const SIMULATION_MS = 300_000;
const WORKSPACE_COUNT = 10;

interface Arrival {
  readonly atMs: number;
  readonly kind: RequestKind;
  readonly workspace: WorkspaceId;
}

interface ServedWorth {
  readonly worth: number;
  readonly servedByKind: ReadonlyMap<string, number>;
}

function createArrivals(slots: number, random: () => number): Arrival[] {
  const meanMs = REQUEST_KINDS.reduce(
    (sum, { share, tokens }) => sum + share * tokens * TOKEN_INTERVAL_MS,
    0,
  );
  const quietPerMs = (slots * BASELINE_UTILIZATION) / meanMs;
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < BASELINE_MS + SURGE_MS) {
    const rate = atMs >= BASELINE_MS ? quietPerMs * SURGE_FACTOR : quietPerMs;
    atMs += -Math.log(1 - random()) / rate;
    const draw = random();
    const kind = pickKind(draw);
    // A few workspaces are large.
    const number = Math.floor(random() ** 2 * WORKSPACE_COUNT);
    arrivals.push({ atMs, kind, workspace: brandId(`w${number}`) });
  }
  return arrivals;
}

function pickKind(draw: number): RequestKind {
  let left = draw;
  const picked = REQUEST_KINDS.find(({ share }) => {
    left -= share;
    return left < 0;
  });
  return picked ?? REQUEST_KINDS[0]!;
}

/**
 * A bound on the worth of the surge's requests: the best worth a token first, as if all had come at its
 * start; short requests only in the time until the last of them is due, reviews also after it. What
 * came before the surge counts whole.
 */
function getWorthBound(arrivals: readonly Arrival[], slots: number): number {
  const shortMs = Math.max(...REQUEST_KINDS.slice(0, 2).map(({ deadlineMs }) => deadlineMs));
  let leftMs = slots * (SURGE_MS + shortMs);
  const laterMs = slots * (REQUEST_KINDS[2]!.deadlineMs - shortMs);
  let worth = 0;
  const sorted = [...arrivals].sort(
    (a, b) => b.kind.worth / b.kind.tokens - a.kind.worth / a.kind.tokens,
  );
  let isLaterAdded = false;
  sorted.forEach(({ atMs, kind }) => {
    if (atMs < BASELINE_MS) {
      worth += kind.worth;
      return;
    }
    if (kind === REQUEST_KINDS[2] && !isLaterAdded) {
      isLaterAdded = true;
      leftMs += laterMs;
    }
    const ms = kind.tokens * TOKEN_INTERVAL_MS;
    const part = Math.max(0, Math.min(1, leftMs / ms));
    worth += kind.worth * part;
    leftMs -= ms * part;
  });
  return worth;
}

interface PolicyResult extends ServedWorth {
  readonly refusedAfterWaiting: number;
}

/** Runs the arrivals through the queue; `ordered` false makes it first come, first served. */
async function simulateQueue(
  arrivals: readonly Arrival[],
  slots: number,
  random: () => number,
  isPrioritized: boolean,
): Promise<PolicyResult> {
  const timers = new VirtualTimers(0);
  const servedByKind = new Map<string, number>();
  let running = 0;
  let worth = 0;
  let refusedAfterWaiting = 0;
  const queue = new AdmissionQueue<true>({
    timers,
    random,
    maxLength: isPrioritized ? 512 : Number.MAX_SAFE_INTEGER,
    getCapacity: () => (isPrioritized ? slots : Number.MAX_SAFE_INTEGER),
    tryAcquire: () => {
      const isFree = running < slots;
      running += isFree ? 1 : 0;
      return isFree ? true : undefined;
    },
  });
  arrivals.forEach(({ atMs, kind, workspace }) => {
    timers.subscribe(atMs, () => {
      const deadline = timers.now() + kind.deadlineMs;
      const runMs = kind.tokens * TOKEN_INTERVAL_MS;
      const request: QueuedRequest = {
        workspace: isPrioritized ? workspace : brandId('all'),
        priority: isPrioritized ? kind.priority : 5,
        worth: isPrioritized ? kind.worth : 1,
        tokens: isPrioritized ? kind.tokens : 1,
        deadline: deadline - runMs,
        signal: new AbortController().signal,
      };
      const enteredAt = timers.now();
      queue.enter(request).then((admission) => {
        if (admission.kind === 'refused') {
          refusedAfterWaiting += timers.now() - enteredAt > 10 ? 1 : 0;
          return;
        }
        timers.subscribe(runMs, () => {
          running -= 1;
          if (timers.now() <= deadline) {
            worth += kind.worth;
            servedByKind.set(kind.name, (servedByKind.get(kind.name) ?? 0) + 1);
          }
          queue.recordCompletion(request, runMs);
        });
      });
    });
  });
  await timers.advance(SIMULATION_MS);
  return { worth, servedByKind, refusedAfterWaiting };
}

async function run(seed: number): Promise<readonly Table[]> {
  const rows: Row[] = [];
  for (const { name, engines } of DEPLOYMENTS) {
    const random = createRandom(seed);
    const slots = Math.ceil(engines * 0.75) * SLOTS_PER_ENGINE;
    const arrivals = createArrivals(engines * SLOTS_PER_ENGINE, random);
    const bound = getWorthBound(arrivals, slots);
    for (const isPrioritized of [false, true]) {
      const result = await simulateQueue(arrivals, slots, random, isPrioritized);
      const row: Record<string, string | number> = {
        deployment: name,
        policy: isPrioritized ? 'queue' : 'first come, first served',
        requests: arrivals.length,
        'worth, % of the bound': round((100 * result.worth) / bound),
        'refused after waiting': result.refusedAfterWaiting,
      };
      REQUEST_KINDS.forEach((kind) => {
        const asked = arrivals.filter((arrival) => arrival.kind === kind).length;
        row[`${kind.name}s in time %`] = round(
          (100 * (result.servedByKind.get(kind.name) ?? 0)) / asked,
        );
      });
      rows.push(row);
    }
  }
  return [{ title: `A surge to ${SURGE_FACTOR} times the quiet load, seed ${seed}`, rows }];
}

/** The bench. */
export const surgeBench: Bench = {
  name: 'surge',
  question:
    'How much worth does the queue serve in a surge, against a bound and against first come, first served?',
  run,
};
