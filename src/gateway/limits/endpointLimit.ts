/** The limit on calls that one endpoint has named for all gateways together, and this gateway's part of it. */
import { TokenBucket } from '../../routing/tokenBucket.js';
import { getRateShare, type GatewayRank } from './rateShare.js';

/** What a response of the endpoint showed. */
export interface LimitWord {
  /** `undefined` if the endpoint named no limit any more. */
  readonly limitPerSecond?: number | undefined;
  /** One more than that of the word that the gateway knew when it received the response; clocks of gateways can't be compared. */
  readonly version: number;
}

/** A gateway without a part may send a call when no response has confirmed the limit for this time. */
const CONFIRMATION_MS = 30_000;
/** Gateways do so one after another. */
const PROBE_INTERVAL_MS = 4_000;
const RANK_LIFETIME_MS = 5_000; // words come often, and ranking a large fleet takes time

/** The limit of one start of one endpoint. */
export class EndpointLimit {
  private word: LimitWord | undefined;

  private bucket: TokenBucket | undefined;

  private rank: GatewayRank = { rank: undefined, fleetSize: 0 };

  private rankedAt = 0;

  private appliedAt = 0;

  private lastProbeAt = Number.NEGATIVE_INFINITY;

  /** Returns the newest word, or `undefined` if the endpoint has never named a limit. */
  getWord(): LimitWord | undefined {
    return this.word;
  }

  /** Returns whether a limit is in force. */
  isInForce(): boolean {
    return this.bucket !== undefined;
  }

  /** Returns the position of this gateway as of the last ranking. */
  getRank(): GatewayRank {
    return this.rank;
  }

  /** Returns when the newest word was applied. */
  getAppliedAt(): number {
    return this.appliedAt;
  }

  /** Returns the word of a response that this gateway has received. */
  createWord(limitPerSecond: number | undefined): LimitWord {
    return { limitPerSecond, version: (this.word?.version ?? 0) + 1 };
  }

  /** Applies a word unless it is older than the known one. */
  apply(word: LimitWord, getRank: () => GatewayRank, nowMs: number): void {
    if (this.word && !isNewer(word, this.word)) {
      return;
    }
    this.word = word;
    this.appliedAt = nowMs;
    if (word.limitPerSecond === undefined) {
      this.bucket = undefined;
      return;
    }
    if (!this.bucket || nowMs - this.rankedAt > RANK_LIFETIME_MS) {
      this.rank = getRank();
      this.rankedAt = nowMs;
    }
    const shape = getRateShare(word.limitPerSecond, this.rank);
    if (this.bucket) {
      this.bucket.reshape(shape, nowMs);
    } else {
      this.bucket = new TokenBucket(shape, nowMs);
    }
  }

  /** Counts a call that is sent. */
  take(nowMs: number): void {
    if (this.bucket?.hasToken(nowMs)) {
      this.bucket.take(nowMs);
    } else if (this.bucket) {
      this.lastProbeAt = nowMs;
    }
  }

  /** Returns the time until this gateway may send a call, in milliseconds; 0 if it may now. */
  getDelayMs(nowMs: number): number {
    return this.bucket
      ? Math.min(this.bucket.getDelayMs(nowMs), Math.max(0, this.getProbeAt() - nowMs))
      : 0;
  }

  private getProbeAt(): number {
    const { rank, fleetSize } = this.rank;
    const confirmedAt = Math.max(this.appliedAt, this.lastProbeAt);
    return confirmedAt + CONFIRMATION_MS + (rank ?? fleetSize) * PROBE_INTERVAL_MS;
  }
}

/** Of two words with one version, from gateways that didn't know each other's, the stricter one counts. */
function isNewer(word: LimitWord, known: LimitWord): boolean {
  const { limitPerSecond = Number.POSITIVE_INFINITY, version } = word;
  const { limitPerSecond: knownLimit = Number.POSITIVE_INFINITY } = known;
  return version > known.version || (version === known.version && limitPerSecond < knownLimit);
}
