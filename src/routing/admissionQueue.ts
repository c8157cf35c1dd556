/**
 * The bounded request queue of one service, ordered by priority, then by worth per token, which is
 * reduced for workspaces that run more than their fair share. A share of the started tokens goes to the
 * request that has waited longest, so that no request starves. A request that can't start before its
 * deadline is refused at once, with a retry-after time.
 */
import type { WorkspaceId } from '../types/ids.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { createRefusal, type Refusal } from '../core/codes.js';

/** The properties of a request that the queue uses. */
export interface QueuedRequest {
  readonly workspace: WorkspaceId;
  /** 0 to 9, higher first. */
  readonly priority: number;
  readonly worth: number;
  /** Maximum number of tokens that the request may use. */
  readonly tokens: number;
  /** Time after which the caller no longer wants a response, in milliseconds of the timer service. */
  readonly deadline: number;
  readonly signal: AbortSignal;
}

/** Options of an admission queue. */
export interface AdmissionQueueOptions<Slot> {
  readonly timers: TimerService;
  /** Acquires a slot for a request, or returns `undefined` if none is available. */
  readonly tryAcquire: (request: QueuedRequest) => Slot | undefined;
  /** Returns the number of requests that the service can run concurrently. */
  readonly getCapacity: () => number;
  /** Maximum number of waiting requests. Default 512. */
  readonly maxLength?: number;
  /** Share of the started tokens reserved for the request that has waited longest. Default 0.1. */
  readonly oldestShare?: number;
  /** Returns a number in [0, 1), used as jitter for retry-after times. Default `Math.random`. */
  readonly random?: () => number;
}

interface Waiter<Slot> {
  readonly request: QueuedRequest;
  readonly arrivalOrder: number;
  finish: (slot: Slot | undefined, refusal?: Refusal) => void;
}

/** The result of waiting: a slot or a refusal. */
export type Admission<Slot> =
  | { readonly kind: 'admitted'; readonly slot: Slot }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

const SERVICE_TIME_SMOOTHING_FACTOR = 0.1;
const INITIAL_SERVICE_MS = 1_000;
const RETRY_AFTER_MIN_MS = 500;

/** A bounded priority queue of requests that wait for slots. */
export class AdmissionQueue<Slot> {
  private readonly waiters = new Set<Waiter<Slot>>();

  private readonly runningCounts = new Map<WorkspaceId, number>();

  private lastArrivalOrder = 0;

  /** Tokens earned by the longest-waiting request from requests started ahead of it. */
  private oldestCredit = 0;

  private meanServiceMs = INITIAL_SERVICE_MS;

  constructor(private readonly options: AdmissionQueueOptions<Slot>) {}

  /** Returns the number of waiting requests. */
  getLength(): number {
    return this.waiters.size;
  }

  /**
   * Waits for a slot.
   *
   * @example
   * const admission = await queue.enter(request);
   * if (admission.kind === 'admitted') run(admission.slot);
   */
  enter(request: QueuedRequest): Promise<Admission<Slot>> {
    const { timers, tryAcquire, maxLength = 512 } = this.options;
    if (this.waiters.size === 0) {
      const slot = tryAcquire(request);
      if (slot !== undefined) {
        this.adjustRunningCount(request.workspace, 1);
        return Promise.resolve({ kind: 'admitted', slot });
      }
    }
    const waiter = this.createWaiter(request);
    if (timers.now() + this.estimateWaitMs(waiter) > request.deadline) {
      return Promise.resolve(this.refuse('deadlineUnmeetable'));
    }
    if (this.waiters.size >= maxLength && !this.evictWorst(waiter)) {
      return Promise.resolve(this.refuse('queueFull'));
    }
    return this.wait(waiter);
  }

  /** Records that an admitted request ended after `durationMs` and starts waiting requests. */
  recordCompletion(request: QueuedRequest, durationMs: number): void {
    this.adjustRunningCount(request.workspace, -1);
    this.meanServiceMs += (durationMs - this.meanServiceMs) * SERVICE_TIME_SMOOTHING_FACTOR;
    this.dispatch();
  }

  /** Starts waiting requests while slots are available. Called when capacity may have become available. */
  dispatch(): void {
    for (let next = this.getNext(); next; next = this.getNext()) {
      const slot = this.options.tryAcquire(next.request);
      if (slot === undefined) {
        return;
      }
      this.adjustRunningCount(next.request.workspace, 1);
      this.updateOldestCredit(next);
      next.finish(slot);
    }
  }

  /** Refuses all waiting requests. */
  refuseAll(refusal: Refusal): void {
    [...this.waiters].forEach((waiter) => waiter.finish(undefined, refusal));
  }

  private createWaiter(request: QueuedRequest): Waiter<Slot> {
    this.lastArrivalOrder += 1;
    return { request, arrivalOrder: this.lastArrivalOrder, finish: () => {} };
  }

  private wait(waiter: Waiter<Slot>): Promise<Admission<Slot>> {
    const { timers } = this.options;
    const { request } = waiter;
    return new Promise((resolve) => {
      let cancelDeadline: Unsubscribe = () => {};
      const onAbort = () => waiter.finish(undefined, createRefusal('deadlineUnmeetable'));

      waiter.finish = (slot, refusal) => {
        this.waiters.delete(waiter);
        cancelDeadline();
        request.signal.removeEventListener('abort', onAbort);
        resolve(
          slot === undefined
            ? this.refuse('deadlineUnmeetable', refusal)
            : { kind: 'admitted', slot },
        );
      };
      cancelDeadline = timers.subscribe(request.deadline - timers.now(), () =>
        waiter.finish(undefined),
      );
      request.signal.addEventListener('abort', onAbort, { once: true });
      this.waiters.add(waiter);
    });
  }

  private refuse(name: 'deadlineUnmeetable' | 'queueFull', refusal?: Refusal): Admission<Slot> {
    const retryAfterMs = this.getRetryAfterMs();
    return { kind: 'refused', refusal: refusal ?? createRefusal(name, { retryAfterMs }) };
  }

  /** Returns the estimated time until the queue is drained, with jitter so that callers don't retry together. */
  private getRetryAfterMs(): number {
    const { random = Math.random } = this.options;
    const drainMs = (this.waiters.size * this.meanServiceMs) / this.getCapacity();
    return Math.round(RETRY_AFTER_MIN_MS + drainMs * (0.5 + random()));
  }

  private getCapacity(): number {
    return Math.max(1, this.options.getCapacity());
  }

  private estimateWaitMs(waiter: Waiter<Slot>): number {
    let ahead = 0;
    this.waiters.forEach((other) => {
      if (this.compare(other, waiter) < 0) {
        ahead += 1;
      }
    });
    return (ahead * this.meanServiceMs) / this.getCapacity();
  }

  /** Refuses the lowest-ranked waiter to make room, if it ranks below the new one. */
  private evictWorst(waiter: Waiter<Slot>): boolean {
    let worst: Waiter<Slot> = waiter;
    this.waiters.forEach((other) => {
      worst = this.compare(other, worst) > 0 ? other : worst;
    });
    if (worst === waiter) {
      return false;
    }
    const retryAfterMs = this.getRetryAfterMs();
    worst.finish(undefined, createRefusal('queueFull', { retryAfterMs }));
    return true;
  }

  /** Returns the waiter to start next: the oldest if its credit covers its tokens, otherwise the highest-ranked. */
  private getNext(): Waiter<Slot> | undefined {
    const [oldest] = this.waiters;
    if (oldest && oldest.request.tokens <= this.oldestCredit) {
      return oldest;
    }
    let best: Waiter<Slot> | undefined;
    this.waiters.forEach((waiter) => {
      best = !best || this.compare(waiter, best) < 0 ? waiter : best;
    });
    return best;
  }

  /** Adds `oldestShare` of the started tokens to the oldest's credit, or deducts the tokens if the credit covers them. */
  private updateOldestCredit(started: Waiter<Slot>): void {
    const { oldestShare = 0.1 } = this.options;
    const { tokens } = started.request;
    const isCovered = tokens <= this.oldestCredit;
    this.oldestCredit = isCovered
      ? this.oldestCredit - tokens
      : this.oldestCredit + tokens * oldestShare;
    if (this.waiters.size <= 1) {
      this.oldestCredit = 0;
    }
  }

  private compare(a: Waiter<Slot>, b: Waiter<Slot>): number {
    return (
      b.request.priority - a.request.priority ||
      this.getScore(b.request) - this.getScore(a.request) ||
      a.arrivalOrder - b.arrivalOrder
    );
  }

  /** Returns the worth per token, divided by the multiple of its fair share that the workspace already runs. */
  private getScore({ worth, tokens, workspace }: QueuedRequest): number {
    const fairShare = this.getCapacity() / Math.max(1, this.runningCounts.size);
    const shareMultiple = Math.max(1, (this.runningCounts.get(workspace) ?? 0) / fairShare);
    return worth / Math.max(1, tokens) / shareMultiple;
  }

  private adjustRunningCount(workspace: WorkspaceId, change: number): void {
    const count = (this.runningCounts.get(workspace) ?? 0) + change;
    if (count > 0) {
      this.runningCounts.set(workspace, count);
    } else {
      this.runningCounts.delete(workspace);
    }
  }
}
