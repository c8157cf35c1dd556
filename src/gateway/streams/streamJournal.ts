/** Keeps the streams that this process began, and writes them to the store as one record. */
import type { Logger } from '../../core/logging.js';
import type { Metrics } from '../../core/metrics.js';
import type { TimerService, Unsubscribe } from '../../core/timers.js';
import { getErrorMessage, getOrCreate } from '../../core/utilities.js';
import type { Incarnation, ServiceName } from '../../types/ids.js';
import type { KeyedStore, Topic } from '../../types/store.js';
import type { RecordedOrigin } from './decideOrigin.js';
import type { StreamKey } from './streamKey.js';
import { encodeStreamRecord, joinKeys, type VersionStreams } from './streamRecord.js';
import type { SeenVersion } from './versionHistory.js';

/** Options of a journal. */
export interface StreamJournalOptions {
  readonly store: KeyedStore;
  readonly topic: Topic;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** The key of the record. */
  readonly run: Incarnation;
  /** Returns the versions of each service that were seen within the retention. */
  readonly getVersions: () => ReadonlyMap<ServiceName, ReadonlySet<SeenVersion>>;
  /** Returns for how long a stream may be taken up after it began, in milliseconds. */
  readonly getRetentionMs: () => number;
  /** Returns the number of vms that write to the topic. */
  readonly getVmCount: () => number;
  /** In [0, 1). */
  readonly random: () => number;
}

interface OwnStream extends RecordedOrigin {
  readonly expiresAt: number;
}

/** Without a record, a stream is still known to have begun at the only version. */
const WRITE_DELAY_MS = 2_000;
/** Delay while a service has several versions: a stream without a record can't be taken up elsewhere. */
const WRITE_DELAY_SEVERAL_VERSIONS_MS = 20;
const RETRY_DELAY_MS = 500;
/** One partition takes an append every 4 ms. */
const WRITE_DELAY_PER_VM_MS = 5;
/** An append without an answer may take effect after a newer one; it has by then. */
const LATE_APPEND_MS = 5_000;
/** Part of the retention after which a record is written again, so that it does not count as one of an ended process. */
const RENEWAL_SHARE = 0.5;
/** The oldest streams beyond this are dropped: 200 records of this size are 6 MB, which each process may have to read. */
const STREAMS_MAX = 4_000;

/** The streams that this process began within the retention. */
export class StreamJournal {
  /** In the order in which they began. */
  private readonly streams = new Map<StreamKey, OwnStream>();

  private scheduled: { readonly at: number; readonly cancel: Unsubscribe } | undefined;

  private isWriting = false;

  /** The delay until the next write that was requested during the current one. */
  private requestedDelayMs: number | undefined;

  /** Until this time an append without an answer may replace a newer record. */
  private replaceableUntil = Number.NEGATIVE_INFINITY;

  /** The versions that the stored record names, by service. */
  private announced: ReadonlyMap<ServiceName, ReadonlySet<SeenVersion>> = new Map();

  private cancelRenewal: Unsubscribe = () => {};

  private isStopped = false;

  constructor(private readonly options: StreamJournalOptions) {}

  /** Stops writing. */
  stop(): void {
    this.isStopped = true;
    this.scheduled?.cancel();
    this.cancelRenewal();
  }

  /** Returns whether the stored record of this process names a version, so that every other process can know of it. */
  isAnnounced(service: ServiceName, version: SeenVersion): boolean {
    return this.announced.get(service)?.has(version) ?? false;
  }

  /** Returns the longest time from the first event of a stream to its record, unless the store is slow, in milliseconds. */
  getWriteDelayMs(): number {
    const delayMs = this.hasSeveralVersions() ? WRITE_DELAY_SEVERAL_VERSIONS_MS : WRITE_DELAY_MS;
    return Math.max(delayMs, this.options.getVmCount() * WRITE_DELAY_PER_VM_MS);
  }

  /** Returns where a stream of this process began, or `undefined` if it began none of that key. */
  find(key: StreamKey): RecordedOrigin | undefined {
    return this.streams.get(key);
  }

  /** Records where a stream began. */
  record(key: StreamKey, { service, version }: RecordedOrigin): void {
    const { timers, getRetentionMs } = this.options;
    this.streams.delete(key);
    this.streams.set(key, { service, version, expiresAt: timers.now() + getRetentionMs() });
    if (this.streams.size > STREAMS_MAX) {
      const [oldest] = this.streams.keys();
      this.streams.delete(oldest!);
    }
    this.schedule(this.getWriteDelayMs());
  }

  /**
   * Writes the record soon: it names a new version, what it says is needed elsewhere, or the store has lost it. All
   * processes may have the same reason, so each takes a different moment.
   */
  writeSoon(): void {
    const { getVmCount, random } = this.options;
    this.schedule(getVmCount() * WRITE_DELAY_PER_VM_MS * random());
  }

  private hasSeveralVersions(): boolean {
    return [...this.options.getVersions().values()].some(({ size }) => size > 1);
  }

  /** Writes after a delay, unless a write is due earlier. */
  private schedule(delayMs: number): void {
    const { timers } = this.options;
    const at = timers.now() + delayMs;
    if (this.isWriting) {
      this.requestedDelayMs = Math.min(delayMs, this.requestedDelayMs ?? delayMs);
      return;
    }
    if (this.isStopped || (this.scheduled && this.scheduled.at <= at)) {
      return;
    }
    this.scheduled?.cancel();
    const cancel = timers.subscribe(delayMs, () => {
      this.scheduled = undefined;
      this.write().catch((error: unknown) => {
        this.options.logger.error('writing the record of streams failed unexpectedly', {
          error: getErrorMessage(error),
        });
      });
    });
    this.scheduled = { at, cancel };
  }

  private async write(): Promise<void> {
    const { store, topic, run, logger, metrics } = this.options;
    const rows = this.createRows();
    this.isWriting = true;
    try {
      const value = encodeStreamRecord({ era: store.era.getEra(), rows });
      const result = await store.append({ topic, key: run, value });
      metrics.streamRecordWrites.inc({ outcome: result.ok ? 'stored' : result.val.kind });
      if (result.ok) {
        this.announced = getVersionsOf(rows);
      } else {
        logger.warn('record of streams not stored; retrying', { ...result.val });
      }
      this.scheduleNext(result.ok, result.err && result.val.kind === 'unavailable');
    } finally {
      this.isWriting = false;
    }
  }

  private scheduleNext(isStored: boolean, mayTakeEffect: boolean): void {
    const { requestedDelayMs } = this;
    const now = this.options.timers.now();
    this.isWriting = false;
    this.requestedDelayMs = undefined;
    if (this.isStopped) {
      return;
    }
    if (!isStored) {
      this.replaceableUntil = mayTakeEffect ? now + LATE_APPEND_MS : this.replaceableUntil;
      this.schedule(RETRY_DELAY_MS * (1 + this.options.random()));
      return;
    }
    if (requestedDelayMs !== undefined) {
      this.schedule(requestedDelayMs);
    }
    if (now < this.replaceableUntil) {
      this.schedule(this.replaceableUntil - now);
    }
    this.cancelRenewal();
    this.cancelRenewal = this.options.timers.subscribe(
      this.options.getRetentionMs() * RENEWAL_SHARE,
      () => this.schedule(0),
    );
  }

  private createRows(): VersionStreams[] {
    this.dropExpired();
    const keys = new Map<ServiceName, Map<SeenVersion, StreamKey[]>>();
    const getKeys = (service: ServiceName, version: SeenVersion) =>
      getOrCreate(
        getOrCreate(keys, service, () => new Map<SeenVersion, StreamKey[]>()),
        version,
        () => [],
      );
    this.options
      .getVersions()
      .forEach((versions, service) => versions.forEach((version) => getKeys(service, version)));
    this.streams.forEach(({ service, version }, key) => getKeys(service, version).push(key));
    return [...keys].flatMap(([service, byVersion]) =>
      [...byVersion].map(([version, streams]) => ({ service, version, keys: joinKeys(streams) })),
    );
  }

  private dropExpired(): void {
    const now = this.options.timers.now();
    // The order of expiry is that of the map, except after a change of the retention; then some expire a little later.
    for (const [key, { expiresAt }] of this.streams) {
      if (expiresAt > now) {
        return;
      }
      this.streams.delete(key);
    }
  }
}

function getVersionsOf(
  rows: readonly VersionStreams[],
): ReadonlyMap<ServiceName, ReadonlySet<SeenVersion>> {
  const versions = new Map<ServiceName, Set<SeenVersion>>();
  rows.forEach(({ service, version }) => {
    getOrCreate(versions, service, () => new Set()).add(version);
  });
  return versions;
}
