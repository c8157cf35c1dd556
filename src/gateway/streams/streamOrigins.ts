/** Knows at which software version streams began: those of this process, and by the store those of all others. */
import type { Logger } from '../../core/logging.js';
import type { Metrics } from '../../core/metrics.js';
import type { TimerService } from '../../core/timers.js';
import type { Incarnation, ServiceName } from '../../types/ids.js';
import type { KeyedStore, Topic } from '../../types/store.js';
import type { GatewayCall } from '../call.js';
import {
  decideOrigin,
  type OriginDecision,
  type OriginInputs,
  type RecordedOrigin,
} from './decideOrigin.js';
import { StaleRecordSweeper } from './staleRecordSweeper.js';
import { StreamIndex } from './streamIndex.js';
import { StreamJournal } from './streamJournal.js';
import { getStreamKey, type StreamKey } from './streamKey.js';
import type { SeenVersion, VersionHistory } from './versionHistory.js';

/** Options of the origins. */
export interface StreamOriginsOptions {
  readonly store: KeyedStore;
  readonly topic: Topic;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly run: Incarnation;
  readonly history: VersionHistory;
  /** Returns the versions of the endpoints of a service that are listed now. */
  readonly getListedVersions: (service: ServiceName) => readonly SeenVersion[];
  /** Returns whether this process removes the records of ended processes; one of all processes does. */
  readonly isSweeper: () => boolean;
  readonly getVmCount: () => number;
  /** In [0, 1). */
  readonly random: () => number;
}

/** Callers take a stream up within their deadline, which is shorter. */
const RETENTION_MIN_MS = 60_000;
/** A caller may use the whole timeout of a route twice: until its stream breaks off, and once more. */
const RETENTION_TIMEOUTS = 2;
/** A call does not wait longer for the store. */
const LOOKUP_TIMEOUT_MS = 400;
const RETRY_AFTER_MIN_MS = 500;
const LOGGED_CHARACTERS_MAX = 64;

/** The origins of streams. */
export class StreamOrigins {
  private readonly journal: StreamJournal;

  private readonly index: StreamIndex;

  private readonly sweeper: StaleRecordSweeper;

  private retentionMs = RETENTION_MIN_MS;

  constructor(private readonly options: StreamOriginsOptions) {
    const { timers, history } = options;
    const getRetentionMs = () => this.retentionMs;
    this.journal = new StreamJournal({
      ...options,
      getRetentionMs,
      getVersions: () => history.getSince(timers.now() - this.retentionMs),
    });
    this.index = new StreamIndex(options);
    this.sweeper = new StaleRecordSweeper({
      ...options,
      isResponsible: options.isSweeper,
      getRetentionMs,
    });
    history.onNewVersion(() => this.journal.writeSoon());
  }

  /** Reads the records of processes that have ended, in the background. */
  start(): void {
    this.sweeper.start();
    this.index.refresh().catch(() => {}); // logged by the index; calls read again
  }

  stop(): void {
    this.sweeper.stop();
    this.journal.stop();
  }

  /** Applies the longest timeout of a streamed route, in milliseconds. */
  applyTimeout(timeoutMs: number): void {
    this.retentionMs = Math.max(RETENTION_MIN_MS, timeoutMs * RETENTION_TIMEOUTS);
  }

  /** Writes the streams of this process again: the store has lost them, or others need them now. */
  writeSoon(): void {
    this.journal.writeSoon();
  }

  /** Returns whether other processes can know that streams of this one may begin at a version of a service. */
  isAnnounced(service: ServiceName, version: SeenVersion): boolean {
    return this.journal.isAnnounced(service, version);
  }

  /** Returns after which time a record that is still to be written can be read, in milliseconds. */
  getRetryAfterMs(): number {
    return Math.max(RETRY_AFTER_MIN_MS, this.journal.getWriteDelayMs());
  }

  /** Records the version at which the stream of a call began. */
  recordBegin({ workspace, metadata }: GatewayCall, origin: RecordedOrigin): void {
    this.journal.record(getStreamKey(workspace?.name, metadata.id), origin);
  }

  /** Returns where the stream began that a call takes up. */
  async find(call: GatewayCall): Promise<OriginDecision> {
    const { workspace, metadata } = call;
    const { resumedCallId } = metadata;
    const key =
      resumedCallId === undefined ? undefined : getStreamKey(workspace?.name, resumedCallId);
    let inputs = this.getInputs(call, key, false);
    // Without the name of the stream, a read could only show further versions.
    if (inputs.recorded.length === 0 && (key !== undefined || inputs.seenVersions.size === 1)) {
      inputs = this.getInputs(call, key, await this.refresh(call.deadline));
    }
    const decision = decideOrigin(inputs);
    this.options.metrics.resumedStreams.inc({ result: decision.reason });
    this.options.logger.info('stream taken up', {
      request: metadata.id,
      resumes: resumedCallId?.slice(0, LOGGED_CHARACTERS_MAX),
      lastEventId: metadata.lastEventId?.slice(0, LOGGED_CHARACTERS_MAX),
      service: call.service,
      ...decision,
      seenVersions: [...inputs.seenVersions],
      isCurrent: inputs.isCurrent,
    });
    return decision;
  }

  private async refresh(deadline: number): Promise<boolean> {
    const { timers } = this.options;
    const timeoutMs = Math.min(LOOKUP_TIMEOUT_MS, Math.max(0, deadline - timers.now()));
    let isRead = false;
    const read = this.index.refresh().then((isSuccessful) => {
      isRead = isSuccessful;
    });
    await timers.isFulfilledWithin(read, timeoutMs, () => {});
    return isRead;
  }

  private getInputs(
    { service, route }: GatewayCall,
    key: StreamKey | undefined,
    isRead: boolean,
  ): OriginInputs {
    const { timers, history, getListedVersions } = this.options;
    const { index, journal, retentionMs } = this;
    const now = timers.now();
    const own = key === undefined ? undefined : journal.find(key);
    const stored = key === undefined ? [] : index.find(key);
    return {
      recorded: own ? [own, ...stored] : stored,
      service,
      isOnlyService: route.split.length === 1,
      seenVersions: new Set([
        ...getListedVersions(service),
        ...(history.getSince(now - retentionMs).get(service) ?? []),
        ...index.getVersions(service),
      ]),
      isCurrent: isRead && index.isComplete(),
    };
  }
}
