/** Claims calls that may not be repeated, in log order, before they go out. */
import { Err, Ok, type Result } from '../core/results.js';
import type { ClaimKey, Incarnation, RequestId, StreamName } from '../types/ids.js';
import type { LogService } from '../types/platform.js';
import type { TimerService } from '../core/timers.js';
import { createRefusal, type Refusal } from '../core/codes.js';
import { ClaimProjection, type Claim, type Outcome } from '../projections/claimProjection.js';
import { StreamReader } from '../log/streamReader.js';
import { StreamWriter } from '../log/streamWriter.js';
import { LOG_UNAVAILABLE_MS } from './logTokenSource.js';

/** Options of the claim controller. Times are in milliseconds. */
export interface ClaimControllerOptions {
  readonly log: LogService;
  readonly timers: TimerService;
  readonly stream: StreamName;
  readonly incarnation: Incarnation;
  /** How long a claim may take. Default 1,500. */
  readonly claimWaitMs?: number;
  /** When a caller that meets a claim without outcome should come back. Default 2,000. */
  readonly outcomeRetryAfterMs?: number;
  /** Largest answer that is kept for repeats, in bytes. Default 65,536. */
  readonly keptBytes?: number;
  readonly flushIntervalMs?: number;
  readonly pollMs?: number;
  readonly onRetry?: (reason: string) => void;
}

/** What a request to claim got: the right to run, or the answer of the run before. */
export type ClaimResult =
  { readonly kind: 'won' } | { readonly kind: 'replay'; readonly outcome: Outcome };

/** An answer to keep for repeats. */
export type KeptAnswer = Omit<Outcome, 'kept'>;

const LOG_UNAVAILABLE_RETRY_AFTER_MS = 5_000;

/** This process's part in one claim stream. */
export class ClaimController {
  readonly reader: StreamReader<ClaimProjection>;

  readonly writer: StreamWriter;

  constructor(private readonly options: ClaimControllerOptions) {
    const { log, timers, stream, incarnation, flushIntervalMs, pollMs, onRetry } = options;
    this.writer = new StreamWriter({ log, timers, stream, incarnation, flushIntervalMs, onRetry });
    this.reader = new StreamReader<ClaimProjection>({
      log,
      timers,
      stream,
      pollMs,
      createProjection: () => new ClaimProjection(),
      onBatches: (batches) => batches.forEach((batch) => this.writer.acknowledge(batch)),
    });
  }

  /** Starts following the stream. */
  start(): void {
    this.reader.start();
  }

  /** Stops at once. */
  stop(): void {
    this.reader.stop();
    this.writer.stop();
  }

  /**
   * Claims a key for a request. Only `won` gives the right to send the call, once. A claim that is
   * given up is released by its own holder, which alone knows that nothing was sent.
   *
   * @example
   * const claim = await controller.claim(key, request, digest);
   * if (claim.ok && claim.val.kind === 'won') await send();
   */
  async claim(
    key: ClaimKey,
    request: RequestId,
    digest: string,
  ): Promise<Result<ClaimResult, Refusal>> {
    if (!this.reader.isReady() || this.isLogUnavailable()) {
      return Err(
        createRefusal('claimUnavailable', { retryAfterMs: LOG_UNAVAILABLE_RETRY_AFTER_MS }),
      );
    }
    const known = this.reader.projection.claims.get(key);
    if (known) {
      return this.resolveFromClaim(known, digest);
    }
    return this.appendClaim(key, request, digest);
  }

  /**
   * Records that a claimed call ended, with its answer where that is small enough; resolves when the
   * log holds it.
   */
  complete(key: ClaimKey, request: RequestId, answer: KeptAnswer | undefined): Promise<void> {
    const { keptBytes = 65_536 } = this.options;
    const kept = answer !== undefined && answer.body.length <= keptBytes;
    const body = kept ? answer.body : new Uint8Array();
    const { status = 200, contentType = '' } = answer ?? {};
    return this.writer.append({ kind: 'outcome', key, request, status, contentType, kept, body });
  }

  /** Frees a claim of this process whose call was certainly not sent. */
  release(key: ClaimKey, request: RequestId): Promise<void> {
    return this.writer.append({ kind: 'release', key, request });
  }

  private async appendClaim(
    key: ClaimKey,
    request: RequestId,
    digest: string,
  ): Promise<Result<ClaimResult, Refusal>> {
    const { claimWaitMs = 1_500 } = this.options;
    this.writer.append({ kind: 'claim', key, request, digest });
    const decided = await this.reader.waitFor(
      () => this.reader.projection.claims.has(key),
      claimWaitMs,
    );
    const claim = this.reader.projection.claims.get(key);
    if (!decided || !claim) {
      this.release(key, request);
      return Err(
        createRefusal('claimUnavailable', { retryAfterMs: LOG_UNAVAILABLE_RETRY_AFTER_MS }),
      );
    }
    if (claim.holder === this.options.incarnation && claim.request === request) {
      return Ok({ kind: 'won' });
    }
    return this.resolveFromClaim(claim, digest);
  }

  private resolveFromClaim(claim: Claim, digest: string): Result<ClaimResult, Refusal> {
    const { outcome } = claim;
    if (claim.digest !== digest) {
      return Err(createRefusal('keyReused'));
    }
    if (!outcome) {
      const { outcomeRetryAfterMs: outcomeRetryAfterMs = 2_000 } = this.options;
      return Err(createRefusal('outcomeUnknown', { retryAfterMs: outcomeRetryAfterMs }));
    }
    return outcome.kept ? Ok({ kind: 'replay', outcome }) : Err(createRefusal('outcomeNotKept'));
  }

  private isLogUnavailable(): boolean {
    return (
      this.writer.getFailingMs() > LOG_UNAVAILABLE_MS ||
      this.reader.getFailingMs() > LOG_UNAVAILABLE_MS
    );
  }
}
