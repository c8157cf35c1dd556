/** Removes the records of processes that have ended, and of others whose streams are all too old to be taken up. */
import type { Logger } from '../../core/logging.js';
import type { TimerService, Unsubscribe } from '../../core/timers.js';
import { getErrorMessage } from '../../core/utilities.js';
import type { KeyedStore, Topic } from '../../types/store.js';

/** Options of a sweeper. */
export interface StaleRecordSweeperOptions {
  readonly store: KeyedStore;
  readonly topic: Topic;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Returns whether this process removes records; one of all processes does. */
  readonly isResponsible: () => boolean;
  /** Returns the time after which a record that has not changed names no stream that may be taken up, in milliseconds. */
  readonly getRetentionMs: () => number;
}

const MARGIN_MS = 30_000;

/** Reads the topic now and then, and removes the keys that have not changed since the last time. */
export class StaleRecordSweeper {
  /** The values at the last sweep; empty unless this process made it. */
  private lastValues: ReadonlyMap<string, Uint8Array> = new Map();

  private cancel: Unsubscribe = () => {};

  constructor(private readonly options: StaleRecordSweeperOptions) {}

  start(): void {
    const { timers, getRetentionMs, logger } = this.options;
    this.cancel = timers.subscribe(getRetentionMs() + MARGIN_MS, () => {
      this.sweep()
        .catch((error: unknown) => {
          logger.error('removing records of streams failed unexpectedly', {
            error: getErrorMessage(error),
          });
        })
        .finally(() => this.start());
    });
  }

  stop(): void {
    this.cancel();
    this.start = () => {};
  }

  private async sweep(): Promise<void> {
    const { store, topic, logger, isResponsible } = this.options;
    const { lastValues } = this;
    this.lastValues = new Map();
    const newest = isResponsible() ? await store.readNewest(topic) : undefined;
    if (!newest?.ok) {
      return;
    }
    const values = newest.val.records.flatMap(({ key, value }) =>
      value ? [[key, value] as const] : [],
    );
    this.lastValues = new Map(values);
    const stale = values.filter(([key, value]) => {
      const last = lastValues.get(key);
      return last !== undefined && Buffer.compare(last, value) === 0;
    });
    for (const [key] of stale) {
      // One after another: the partition serves the writers of new records too.
      const removed = await store.append({ topic, key, value: undefined });
      if (removed.err) {
        return;
      }
    }
    if (stale.length > 0) {
      logger.info('records of streams removed', { count: stale.length });
    }
  }
}
