/** Removes the records of processes that have ended, and of others whose streams are all too old to be taken up. */
import type { Logger } from '../../core/logging.js';
import type { TimerService, Unsubscribe } from '../../core/timers.js';
import { getErrorMessage } from '../../core/utilities.js';
import type { Era, Offset } from '../../types/ids.js';
import type { KeyedRecord, KeyedStore, Topic } from '../../types/store.js';

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
  /** The offsets of the records at the last sweep; `undefined` unless this process made it. */
  private last: { readonly era: Era; readonly offsets: ReadonlyMap<string, Offset> } | undefined;

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
    const { last } = this;
    this.last = undefined;
    const newest = isResponsible() ? await store.readNewest(topic) : undefined;
    if (!newest?.ok) {
      return;
    }
    const { records, era } = newest.val;
    this.last = { era, offsets: new Map(records.map(({ key, offset }) => [key, offset])) };
    const stale = last?.era === era ? records.filter((record) => isSame(record, last.offsets)) : [];
    let removedCount = 0;
    for (const record of stale) {
      // One after another: the partition serves the writers of new records too.
      removedCount += (await this.remove(record)) ? 1 : 0;
    }
    if (stale.length > 0) {
      logger.info('records of streams removed', { removedCount, staleCount: stale.length });
    }
  }

  /** Removes a record unless its process has written again, or any other one at the same moment. */
  private async remove(record: KeyedRecord): Promise<boolean> {
    const { store, topic } = this.options;
    const newest = await store.readNewest(topic);
    if (newest.err) {
      return false;
    }
    const { records, end } = newest.val;
    const isUnchanged = records.some(
      ({ key, offset }) => key === record.key && offset === record.offset,
    );
    return (
      isUnchanged && (await store.append({ topic, key: record.key, value: undefined, at: end })).ok
    );
  }
}

/** Returns whether a record has a value and the offset that its key had before. */
function isSame(
  { key, value, offset }: KeyedRecord,
  offsets: ReadonlyMap<string, Offset>,
): boolean {
  return value !== undefined && offsets.get(key) === offset;
}
