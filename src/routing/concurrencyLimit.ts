/** Adaptive limit of the concurrent requests to one endpoint, by its time to the first token. */

/** Options of a concurrency limit. */
export interface ConcurrencyLimitOptions {
  /** Upper bound of the limit. */
  readonly max: number;
  /** Initial limit. Default `max`. */
  readonly initial?: number;
  /** A time to the first token above this multiple of the best one counts as slow. Default 4. */
  readonly slowFactor?: number;
}

const ADDITIVE_INCREASE = 1;
const DECREASE_FACTOR = 0.7;
/** Latencies up to this value never count as slow, since the router's own work dominates them. */
const SLOW_LATENCY_MIN_MS = 250;
/** The best latency grows by this factor per sample, so that it follows an endpoint that became slower. */
const BEST_LATENCY_GROWTH_FACTOR = 1.01;

/** A concurrency limit with additive increase and multiplicative decrease (AIMD). */
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

  /** Records a time to the first token: increases the limit, or decreases it if the time is slow. */
  recordLatency(latencyMs: number, nowMs: number): void {
    const { slowFactor = 4, max } = this.options;
    this.bestLatencyMs = Math.min(latencyMs, this.bestLatencyMs * BEST_LATENCY_GROWTH_FACTOR);
    if (latencyMs > Math.max(this.bestLatencyMs * slowFactor, SLOW_LATENCY_MIN_MS)) {
      this.decrease(nowMs);
    } else {
      this.limit = Math.min(max, this.limit + ADDITIVE_INCREASE / this.limit);
    }
  }

  /** Records that the endpoint rejected a call for lack of capacity. */
  recordRejection(nowMs: number): void {
    this.decrease(nowMs);
  }

  /** Decreases the limit at most once per best latency (up to 1 s), since samples of one queue arrive together. */
  private decrease(nowMs: number): void {
    if (nowMs - this.decreasedAtMs < Math.min(this.bestLatencyMs, 1_000)) {
      return;
    }
    this.decreasedAtMs = nowMs;
    this.limit = Math.max(1, this.limit * DECREASE_FACTOR);
  }
}
