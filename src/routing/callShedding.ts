/**
 * Decides for each call, when its head has been read, whether a process serves it or refuses it at once, so that another
 * process can serve it in time. The wait of a call is estimated from the processor time that the admitted calls still
 * need and the share of a core that the process gets. Has no input or output; see docs/design/load-shedding.md.
 */
import {
  CallCost,
  createWorkCounts,
  sumWorkCounts,
  type WorkCounts,
  type WorkKind,
} from './callCost.js';

/** Options of the decision. Times are in milliseconds. */
export interface CallSheddingOptions {
  /** Processor cores that the process may use; a fraction if they are shared. */
  readonly cores: number;
  /** Estimated wait from which calls are refused while the process is busy. Default 40. */
  readonly waitMaxMs?: number;
  /** Estimated wait from which calls are refused in a burst, before the process counts as busy. Default 120. */
  readonly burstWaitMaxMs?: number;
}

/** Totals of the process at one time, in milliseconds. */
export interface LoadSample {
  readonly nowMs: number;
  /** Idle time of the event loop since the start. */
  readonly loopIdleMs: number;
  /** Returns the processor time used since the start; called a few times a second, since the reading is costly. */
  readonly readProcessorMs: () => number;
}

/** The samples between two readings of the processor time. */
interface ProcessorWindow {
  readonly startedAt: number;
  readonly processorMs: number;
  readonly loopIdleMs: number;
  readonly counts: WorkCounts;
}

/** Why a call is refused. */
export type ShedReason = 'busy' | 'burst' | 'late';

/** The outcome for one call. */
export type ShedDecision =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'shed'; readonly reason: ShedReason; readonly waitMs: number };

/** The kinds of calls that a head distinguishes. */
export type CallKind = Extract<WorkKind, 'tokenCall' | 'plainCall'>;

const WAIT_MAX_MS = 40; // the shortest latency targets are 149 ms, and a call waits for several turns of the loop
const BURST_WAIT_MAX_MS = 120; // a call that waits longer than this misses the shortest targets
const BUSY_TIME_CONSTANT_MS = 200;
const BUSY_WEIGHT_MAX = 0.4; // one long turn, such as that of a large configuration, is no overload
const BUSY_RATIO = 0.85;
const BUSY_FOR_MS = 75;
const SATURATED_RATIO = 0.95; // the loop is never idle, so the processor time used is all that the process gets
const CAPACITY_WEIGHT = 0.2;
const CAPACITY_MIN_RATIO = 0.5;
const CAPACITY_MAX_RATIO = 3;
const WINDOW_MS = 200; // the work of a call is spread over tens of ms after its head
const SAMPLE_MAX_MS = 500; // a process that used little in a longer sample was frozen
const BACKLOG_RATIO_MAX = 2; // refusals that use all of the time must not delay the recovery
/** Parts of the limit up to which calls of ranks 0, 1, and 2 or more are admitted. */
const RANK_LIMIT_RATIOS = [1, 0.8, 0.65] as const;
const CALLS_IN_PROGRESS_MIN = 3; // the work of fewer calls is no overload, whatever their estimated cost
const CALL_SHARE_MIN = 0.5; // background work never uses more, or its cost is misjudged
const OVERLOAD_SHED_RATIO = 0.25; // fewer refused calls cost less than those that all go to one neighbour
const SHEDDING_LIFETIME_MS = 500;

const ADMITTED: ShedDecision = { kind: 'admitted' };

/** A call whose head has been read. */
export interface ArrivingCall {
  readonly kind: CallKind;
  /** Number of admitted calls that have not ended. */
  readonly callsInProgress: number;
  /** Whether timers are so late that any call would be served too late. */
  readonly isLate: boolean;
  /** Returns the priority rank, 0 for the most urgent calls; called only where the rank decides. Default 0. */
  readonly getRank?: () => number;
}

/** The decision of one process. */
export class CallShedding {
  readonly cost = new CallCost();

  /** Processor time that the process gets while it is saturated, in cores. */
  private capacity: number;

  private busyRatio = 0;

  /** Share of calls that were refused, smoothed. */
  private shedRatio = 0;

  /** Time for which the event loop has not been idle. */
  private busyForMs = 0;

  /** Processor time that admitted calls still need, in milliseconds. */
  private backlogMs = 0;

  private backlogAt: number | undefined;

  private lastSample: LoadSample | undefined;

  private counts = createWorkCounts();

  private window: ProcessorWindow | undefined;

  /** Cost of the work that began since the last sample. */
  private addedMs = 0;

  private shedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: CallSheddingOptions) {
    this.capacity = options.cores;
  }

  /** Records the totals of the process. */
  record(sample: LoadSample): void {
    const last = this.lastSample;
    const { counts, addedMs } = this;
    this.lastSample = sample;
    this.counts = createWorkCounts();
    this.addedMs = 0;
    const elapsedMs = last ? sample.nowMs - last.nowMs : 0;
    if (!last || elapsedMs <= 0) {
      return;
    }
    const busyRatio = 1 - Math.min(1, (sample.loopIdleMs - last.loopIdleMs) / elapsedMs);
    const weight = Math.min(BUSY_WEIGHT_MAX, 1 - Math.exp(-elapsedMs / BUSY_TIME_CONSTANT_MS));
    this.busyRatio += (busyRatio - this.busyRatio) * weight;
    this.busyForMs = busyRatio >= SATURATED_RATIO ? this.busyForMs + elapsedMs : 0;
    const callCount = counts.tokenCall + counts.plainCall + counts.refusal;
    const shedRatio = callCount === 0 ? 0 : counts.refusal / callCount;
    this.shedRatio += (shedRatio - this.shedRatio) * weight;
    this.recordProcessorTime(sample, counts);
    if (busyRatio < SATURATED_RATIO) {
      // The loop was idle since the last sample, so no earlier work is left.
      this.drain(sample.nowMs);
      this.backlogMs = Math.min(this.backlogMs, addedMs);
    }
  }

  /**
   * Decides about a call whose head has been read, and counts the work that follows.
   *
   * @example
   * const call = { kind: 'tokenCall', callsInProgress: 7, isLate: false };
   * if (shedding.decide(call, timers.now()).kind === 'shed') refuse();
   */
  decide(call: ArrivingCall, nowMs: number): ShedDecision {
    const { waitMaxMs = WAIT_MAX_MS, burstWaitMaxMs = BURST_WAIT_MAX_MS } = this.options;
    this.drain(nowMs);
    const { kind, callsInProgress, isLate } = call;
    const waitMs = this.backlogMs / this.getRate();
    const limitMs = this.isBusy() ? waitMaxMs : burstWaitMaxMs;
    if (
      !isLate &&
      (isWithinLimit(call, waitMs / limitMs) || callsInProgress < CALLS_IN_PROGRESS_MIN)
    ) {
      this.add(kind, Number.POSITIVE_INFINITY);
      return ADMITTED;
    }
    this.add('refusal', limitMs * BACKLOG_RATIO_MAX * this.getRate());
    this.shedAt = nowMs;
    if (isLate) {
      return { kind: 'shed', reason: 'late', waitMs };
    }
    return { kind: 'shed', reason: this.isBusy() ? 'busy' : 'burst', waitMs };
  }

  /** Returns whether so many calls are refused that new connections should go to other processes. */
  isOverloaded(): boolean {
    return this.shedRatio >= OVERLOAD_SHED_RATIO;
  }

  /** Returns whether a call has been refused within the last moments. */
  isShedding(nowMs: number): boolean {
    return nowMs - this.shedAt < SHEDDING_LIFETIME_MS;
  }

  /** Returns the share of time for which the event loop was busy, smoothed. */
  getBusyRatio(): number {
    return this.busyRatio;
  }

  private isBusy(): boolean {
    return this.busyRatio >= BUSY_RATIO || this.busyForMs >= BUSY_FOR_MS;
  }

  private add(kind: CallKind | 'refusal', backlogMaxMs: number): void {
    const costMs = this.cost.get(kind);
    this.counts[kind] += 1;
    this.addedMs += costMs;
    this.backlogMs = Math.min(Math.max(this.backlogMs, backlogMaxMs), this.backlogMs + costMs);
  }

  private drain(nowMs: number): void {
    const elapsedMs = Math.min(SAMPLE_MAX_MS, Math.max(0, nowMs - (this.backlogAt ?? nowMs)));
    this.backlogAt = nowMs;
    this.backlogMs = Math.max(0, this.backlogMs - elapsedMs * this.getRate());
  }

  /** Returns the processor time that calls get, in cores. */
  private getRate(): number {
    return Math.max(this.capacity * CALL_SHARE_MIN, this.capacity - this.cost.get('background'));
  }

  private recordProcessorTime(sample: LoadSample, counts: WorkCounts): void {
    const { nowMs, loopIdleMs, readProcessorMs } = sample;
    const window = this.window && {
      ...this.window,
      counts: sumWorkCounts(this.window.counts, counts),
    };
    const elapsedMs = nowMs - (window?.startedAt ?? 0);
    if (window && elapsedMs < WINDOW_MS) {
      this.window = window;
      return;
    }
    const processorMs = readProcessorMs();
    this.window = { startedAt: nowMs, processorMs, loopIdleMs, counts: createWorkCounts() };
    const usedMs = processorMs - (window?.processorMs ?? 0);
    const wasFrozen = elapsedMs > SAMPLE_MAX_MS && usedMs < elapsedMs * this.capacity * 0.5;
    if (!window || wasFrozen) {
      return;
    }
    this.cost.record({ ...window.counts, background: elapsedMs }, usedMs);
    if (1 - (loopIdleMs - window.loopIdleMs) / elapsedMs >= SATURATED_RATIO) {
      this.recordCapacity(usedMs / elapsedMs);
    }
  }

  private recordCapacity(usedCores: number): void {
    const { cores } = this.options;
    const capacity = this.capacity + (usedCores - this.capacity) * CAPACITY_WEIGHT;
    this.capacity = Math.min(
      cores * CAPACITY_MAX_RATIO,
      Math.max(cores * CAPACITY_MIN_RATIO, capacity),
    );
  }
}

/** Whenever a call is admitted, one of a lower rank would be too. */
function isWithinLimit({ getRank = () => 0 }: ArrivingCall, limitRatio: number): boolean {
  const [urgent, medium, others] = RANK_LIMIT_RATIOS;
  if (limitRatio < others || limitRatio >= urgent) {
    return limitRatio < others;
  }
  const rank = getRank();
  return rank <= 0 || (rank <= 1 && limitRatio < medium);
}
