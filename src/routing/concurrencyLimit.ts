/** How many requests one endpoint gets at a time: grows while it is quick, halves when it is slow. */

/** Options of a concurrency limit. */
export interface ConcurrencyLimitOptions {
  /** The most that the limit grows to. */
  readonly max: number;
  /** Where it starts. Default `max`. */
  readonly initial?: number;
  /** A first token later than this multiple of the best one counts as slow. Default 4. */
  readonly slowFactor?: number;
}

const ADDITIVE_INCREASE = 1;
const DECREASE_FACTOR = 0.7;
/** Answers quicker than this are never slow: below it the router's own work is what is measured. */
const SLOW_LATENCY_MIN_MS = 250;
/** The best latency is forgotten by this share a sample, so that it can rise again. */
const BEST_LATENCY_GROWTH_FACTOR = 1.01;

/** A limit by additive increase and multiplicative decrease on the time to the first token. */
export class ConcurrencyLimit {
  private limit: number;

  private bestLatencyMs = Number.POSITIVE_INFINITY;

  private decreasedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ConcurrencyLimitOptions) {
    this.limit = options.initial ?? options.max;
  }

  /** Returns the limit, at least 1. */
  get(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  /** Takes the time to a first token. */
  recordLatency(latencyMs: number, nowMs: number): void {
    const { slowFactor = 4, max } = this.options;
    this.bestLatencyMs = Math.min(latencyMs, this.bestLatencyMs * BEST_LATENCY_GROWTH_FACTOR);
    if (latencyMs > Math.max(this.bestLatencyMs * slowFactor, SLOW_LATENCY_MIN_MS)) {
      this.decrease(nowMs);
    } else {
      this.limit = Math.min(max, this.limit + ADDITIVE_INCREASE / this.limit);
    }
  }

  /** Takes a refusal for lack of room. */
  recordRejection(nowMs: number): void {
    this.decrease(nowMs);
  }

  /** Shrinks at most once per best latency, since samples of one queue come together. */
  private decrease(nowMs: number): void {
    if (nowMs - this.decreasedAtMs < Math.min(this.bestLatencyMs, 1_000)) {
      return;
    }
    this.decreasedAtMs = nowMs;
    this.limit = Math.max(1, this.limit * DECREASE_FACTOR);
  }
}
