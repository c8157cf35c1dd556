/** Runs a request through the filter chain. */
import { Ok } from '../core/results.js';
import type { Filter, FilterResult } from '../types/exchange.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService } from '../core/timers.js';

/** Options of a chain. */
export interface ChainOptions<Subject> {
  readonly filters: readonly Filter<Subject>[];
  readonly timers: TimerService;
  readonly metrics: Metrics;
}

/**
 * Runs the chain. The histogram records the time of each filter without that of the filters after it.
 *
 * @example
 * const result = await runChain({ filters, timers, metrics }, exchange);
 * if (result.err) respond(result.val);
 */
export function runChain<Subject>(
  options: ChainOptions<Subject>,
  subject: Subject,
): Promise<FilterResult> {
  const { filters, timers, metrics } = options;
  const run = async (index: number): Promise<FilterResult> => {
    const filter = filters[index];
    if (!filter) {
      return Ok.EMPTY;
    }
    const startedAt = timers.now();
    let innerMs = 0;
    const result = await filter.handle(subject, async () => {
      const innerStartedAt = timers.now();
      const inner = await run(index + 1);
      innerMs += timers.now() - innerStartedAt;
      return inner;
    });
    const ownMs = timers.now() - startedAt - innerMs;
    metrics.filterSeconds.observe({ filter: filter.name }, ownMs / 1_000);
    return result;
  };
  return run(0);
}
