/** Measures the processor time of this process and the idle time of its event loop. */
import { performance } from 'node:perf_hooks';

/** Totals since some time before the first reading, in milliseconds. */
export abstract class ProcessorMeter {
  /** Returns the processor time that all threads of the process have used. A system call that adds up all threads. */
  abstract readProcessorMs(): number;

  /** Returns the time for which the event loop had nothing to do. Cheap. */
  abstract readLoopIdleMs(): number;
}

/**
 * The meter of this process.
 *
 * @example
 * const usedMs = new ProcessMeter().readProcessorMs();
 */
export class ProcessMeter extends ProcessorMeter {
  override readProcessorMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1_000;
  }

  override readLoopIdleMs(): number {
    return performance.eventLoopUtilization().idle;
  }
}
