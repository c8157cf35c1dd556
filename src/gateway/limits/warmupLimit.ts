/** The limit on calls to a cold endpoint, and what this gateway knows of the endpoint's warm-up. */
import { TokenBucket, type BucketShape } from '../../routing/tokenBucket.js';
import type { EndpointEntry } from '../../types/gateway.js';
import type { ServiceName, VmId } from '../../types/ids.js';

/** Decides this gateway's part of the calls to cold endpoints. */
export abstract class WarmupPolicy {
  /** Returns the usual duration of a warm-up, in milliseconds; 0 if unknown. */
  abstract getDurationMs(service: ServiceName): number;

  /** Returns this gateway's part, or `undefined` if cold endpoints of the service have no limit. */
  abstract getShape(service: ServiceName, endpoint: VmId): BucketShape | undefined;
}

/** What a gateway states about the warm-up of an endpoint. The one with the highest start, sequence and version counts. */
export interface WarmupWord {
  readonly startedAtMs: number;
  /** Of the newest entry that the gateway had read. */
  readonly sequence: number;
  /** The number of later statements about the same entry. */
  readonly version: number;
  /** Time until the end, in milliseconds from the receipt of the word. */
  readonly leftMs: number;
}

/** A word whose end is a time of this gateway's clock. */
interface WarmupState extends Omit<WarmupWord, 'leftMs'> {
  readonly coldUntil: number;
}

/** Longer than any real warm-up, so that a faulty value can't limit an endpoint forever. */
const WARMUP_MAX_MS = 600_000;
/** Transit times differ between responses; an end that is later by more than this is a new statement. */
const LATER_END_MIN_MS = 100;

const UNLIMITED: WarmupPolicy = {
  getDurationMs: () => 0,
  getShape: () => undefined,
};

/** The warm-up of one endpoint, over all its starts. Every end is late by the time that its statement took to arrive, never early. */
export class WarmupLimit {
  private state: WarmupState = { startedAtMs: -1, sequence: -1, version: 0, coldUntil: 0 };

  private service: ServiceName | undefined;

  /** When the state was last changed by a statement. */
  private changedAt = 0;

  /** The endpoint may have restarted since its newest known entry; counts for this gateway only. */
  private presumedUntil = 0;

  private bucket: TokenBucket | undefined;

  constructor(
    private readonly endpoint: VmId,
    private readonly policy: WarmupPolicy = UNLIMITED,
  ) {}

  /** Applies an entry, unless a newer or the same one is known: reading it again does not prolong the warm-up. */
  applyEntry(
    entry: Pick<EndpointEntry, 'service' | 'startedAtMs' | 'sequence' | 'warmupMs'>,
    nowMs: number,
  ): void {
    const { service, startedAtMs, sequence, warmupMs } = entry;
    this.service = service;
    const position = { startedAtMs, sequence, version: 0 };
    if (compare(position, { ...this.state, version: 0 }) <= 0) {
      return;
    }
    const isNewStart = startedAtMs > this.state.startedAtMs;
    const leftMs = warmupMs ?? (isNewStart ? this.policy.getDurationMs(service) : undefined);
    this.state = { ...this.state, ...position };
    if (leftMs !== undefined) {
      this.setEnd(leftMs, nowMs);
    }
  }

  /** Applies what a peer states. */
  applyWord({ leftMs, startedAtMs, sequence, version }: WarmupWord, nowMs: number): void {
    const position = { startedAtMs, sequence, version };
    const order = compare(position, this.state);
    if (order > 0) {
      this.state = { ...this.state, ...position };
      this.setEnd(leftMs, nowMs);
    } else if (order === 0 && nowMs + leftMs < this.state.coldUntil) {
      // Both ends are at or after the true one.
      this.state = { ...this.state, coldUntil: nowMs + leftMs };
    }
  }

  /** Applies the remaining time that a response states. */
  recordResponse(warmupMs: number, sentAt: number, nowMs: number): void {
    const end = nowMs + Math.min(warmupMs, WARMUP_MAX_MS);
    const knownEnd = this.getEnd();
    if (warmupMs > 0 && end > Math.max(nowMs, knownEnd) + LATER_END_MIN_MS) {
      this.state = { ...this.state, version: this.state.version + 1 };
      this.setEnd(warmupMs, nowMs);
    } else if (end < knownEnd && sentAt >= this.changedAt) {
      this.state = { ...this.state, coldUntil: end };
      this.presumedUntil = Math.min(this.presumedUntil, end);
    }
  }

  /** Counts the endpoint as cold after the evacuation of its zone. */
  recordReturn(nowMs: number): void {
    const durationMs = this.getDurationMs();
    if (durationMs > 0) {
      const leftMs = Math.max(durationMs, this.state.coldUntil - nowMs);
      this.state = { ...this.state, version: this.state.version + 1 };
      this.setEnd(leftMs, nowMs);
    }
  }

  /** Counts the endpoint as cold for this gateway after a connection to it failed: it may be restarting. */
  recordUnreachable(nowMs: number): void {
    this.updateBucket(nowMs);
    this.presumedUntil = nowMs + this.getDurationMs();
    this.changedAt = nowMs;
    this.updateBucket(nowMs);
  }

  /** Returns what this gateway can tell peers, or `undefined` if the endpoint is warm or has no limit. */
  getWord(nowMs: number): WarmupWord | undefined {
    const { coldUntil, startedAtMs, sequence, version } = this.state;
    return coldUntil > nowMs && this.getShape()
      ? { startedAtMs, sequence, version, leftMs: Math.ceil(coldUntil - nowMs) }
      : undefined;
  }

  /** Returns whether the endpoint is cold and has a limit. */
  isInForce(nowMs: number): boolean {
    return this.getEnd() > nowMs && this.getShape() !== undefined;
  }

  /** Counts a call that is sent. */
  take(nowMs: number): void {
    this.updateBucket(nowMs)?.take(nowMs);
  }

  /** Returns the time until this gateway may send a call, in milliseconds; 0 if it may now. */
  getDelayMs(nowMs: number): number {
    const bucket = this.updateBucket(nowMs);
    return bucket ? Math.min(bucket.getDelayMs(nowMs), this.getEnd() - nowMs) : 0;
  }

  private setEnd(leftMs: number, nowMs: number): void {
    this.updateBucket(nowMs); // what filled in an earlier warm-up does not count for this one
    this.state = { ...this.state, coldUntil: nowMs + Math.min(leftMs, WARMUP_MAX_MS) };
    this.presumedUntil = 0;
    this.changedAt = nowMs;
    this.updateBucket(nowMs);
  }

  private getEnd(): number {
    return Math.max(this.state.coldUntil, this.presumedUntil);
  }

  private getDurationMs(): number {
    return this.service === undefined
      ? 0
      : Math.min(this.policy.getDurationMs(this.service), WARMUP_MAX_MS);
  }

  private getShape(): BucketShape | undefined {
    return this.service === undefined
      ? undefined
      : this.policy.getShape(this.service, this.endpoint);
  }

  /** Returns the bucket with the current shape, or `undefined` if no limit is in force. */
  private updateBucket(nowMs: number): TokenBucket | undefined {
    const shape = this.getEnd() > nowMs ? this.getShape() : undefined;
    if (!shape) {
      this.bucket = undefined;
    } else if (this.bucket) {
      this.bucket.reshape(shape, nowMs);
    } else {
      this.bucket = new TokenBucket(shape, nowMs);
    }
    return this.bucket;
  }
}

type WarmupPosition = Omit<WarmupWord, 'leftMs'>;

function compare(first: WarmupPosition, second: WarmupPosition): number {
  return (
    first.startedAtMs - second.startedAtMs ||
    first.sequence - second.sequence ||
    first.version - second.version
  );
}
