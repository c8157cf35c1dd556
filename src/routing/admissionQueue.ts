/**
 * The queue of one service: bounded, ordered by priority, then by worth a token, less for workspaces
 * that run more than their part. A share of the capacity goes to what has waited longest, so that
 * nothing waits for ever. What can't start before its deadline is refused at once, with a time to
 * come back.
 */
import type { WorkspaceId } from '../types/ids.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { createRefusal, type Refusal } from '../core/codes.js';

/** What the queue needs to know of a request. */
export interface QueuedRequest {
  readonly workspace: WorkspaceId;
  /** 0 to 9, higher first. */
  readonly priority: number;
  readonly worth: number;
  /** The most tokens that it may take. */
  readonly tokens: number;
  /** When the caller no longer wants an answer, in milliseconds of the timer service. */
  readonly deadline: number;
  readonly signal: AbortSignal;
}

/** Options of an admission queue. */
export interface AdmissionQueueOptions<Slot> {
  readonly timers: TimerService;
  /** Takes a slot for a request, or returns `undefined` while there is none. */
  readonly tryAcquire: (request: QueuedRequest) => Slot | undefined;
  /** Returns how many requests the service runs at a time. */
  readonly getCapacity: () => number;
  /** Most requests that wait. Default 512. */
  readonly maxLength?: number;
  /** The share of the tokens that goes to the request that has waited longest. Default 0.1. */
  readonly oldestShare?: number;
  /** A number in [0, 1), to spread the times to come back. */
  readonly random?: () => number;
}

interface Waiter<Slot> {
  readonly request: QueuedRequest;
  readonly arrivalOrder: number;
  finish: (slot: Slot | undefined, refusal?: Refusal) => void;
}

/** The outcome of waiting: a slot or a refusal. */
export type Admission<Slot> =
  | { readonly kind: 'admitted'; readonly slot: Slot }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

const SERVICE_TIME_SMOOTHING_FACTOR = 0.1;
const INITIAL_SERVICE_MS = 1_000;
const RETRY_AFTER_MIN_MS = 500;

/** The queue. */
export class AdmissionQueue<Slot> {
  private readonly waiters = new Set<Waiter<Slot>>();

  private readonly runningCounts = new Map<WorkspaceId, number>();

  private lastArrivalOrder = 0;

  /** Tokens that the oldest requests have earned of what was started. */
  private oldestCredit = 0;

  private meanServiceMs = INITIAL_SERVICE_MS;

  constructor(private readonly options: AdmissionQueueOptions<Slot>) {}

  /** Returns how many requests wait. */
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
    const { timers, tryAcquire, maxLength: maxLength = 512 } = this.options;
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

  /** Takes the end of a request that was admitted, and how long it ran. */
  recordCompletion(request: QueuedRequest, durationMs: number): void {
    this.adjustRunningCount(request.workspace, -1);
    this.meanServiceMs += (durationMs - this.meanServiceMs) * SERVICE_TIME_SMOOTHING_FACTOR;
    this.dispatch();
  }

  /** Starts waiting requests while there are slots. Called when capacity may have come free. */
  dispatch(): void {
    for (let best = this.getNext(); best; best = this.getNext()) {
      const slot = this.options.tryAcquire(best.request);
      if (slot === undefined) {
        return;
      }
      this.adjustRunningCount(best.request.workspace, 1);
      this.updateOldestCredit(best);
      best.finish(slot);
    }
  }

  /** Refuses everything that waits. */
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

  /** Returns when the queue should have drained, spread so that callers don't return together. */
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

  /** Makes room by refusing the worst waiter, where that is worse than the new one. */
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

  /** Returns the request to start next: the oldest once it has earned its turn, else the best. */
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

  /** Each start earns the oldest its share; the oldest pays for its own start. */
  private updateOldestCredit(started: Waiter<Slot>): void {
    const { oldestShare = 0.1 } = this.options;
    const { tokens } = started.request;
    const isPaid = tokens <= this.oldestCredit;
    this.oldestCredit = isPaid
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

  /** Returns the worth a token, divided by how many times its part the workspace runs already. */
  private getScore({ worth, tokens, workspace }: QueuedRequest): number {
    const part = this.getCapacity() / Math.max(1, this.runningCounts.size);
    const excess = Math.max(1, (this.runningCounts.get(workspace) ?? 0) / part);
    return worth / Math.max(1, tokens) / excess;
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
