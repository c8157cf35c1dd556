/** Claims calls that must not run twice; the first claim in log order wins the right to send the call. */
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
  /** Maximum time to wait for a claim to be decided. Default 1,500. */
  readonly claimWaitMs?: number;
  /** Retry-after time for a caller whose key is claimed but has no outcome yet. Default 2,000. */
  readonly outcomeRetryAfterMs?: number;
  /** Largest response body that is stored for replay, in bytes. Default 65,536. */
  readonly keptBytes?: number;
  readonly flushIntervalMs?: number;
  readonly pollMs?: number;
  readonly onRetry?: (reason: string) => void;
}

/** The result of a claim: the right to run the call, or the stored outcome of an earlier run. */
export type ClaimResult =
  { readonly kind: 'won' } | { readonly kind: 'replay'; readonly outcome: Outcome };

/** A response to store for replay to duplicate requests. */
export type StoredResponse = Omit<Outcome, 'kept'>;

const LOG_UNAVAILABLE_RETRY_AFTER_MS = 5_000;

/** Appends and reads claims of one claim stream. */
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

  /** Starts reading the stream. */
  start(): void {
    this.reader.start();
  }

  /** Stops reading and appending. */
  stop(): void {
    this.reader.stop();
    this.writer.stop();
  }

  /**
   * Claims a key for a request. Only `won` permits sending the call, once. A claim that is not decided
   * in time is released by its own holder, the only process that knows that the call was not sent.
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
    const claim = this.reader.projection.claims.get(key);
    if (claim) {
      return this.resolveFromClaim(claim, digest);
    }
    return this.appendClaim(key, request, digest);
  }

  /**
   * Records the outcome of a claimed call, with the response body if it is small enough; resolves when
   * the outcome is stored in the log.
   */
  complete(key: ClaimKey, request: RequestId, response: StoredResponse | undefined): Promise<void> {
    const { keptBytes = 65_536 } = this.options;
    const kept = response !== undefined && response.body.length <= keptBytes;
    const body = kept ? response.body : new Uint8Array();
    const { status = 200, contentType = '' } = response ?? {};
    return this.writer.append({ kind: 'outcome', key, request, status, contentType, kept, body });
  }

  /** Releases a claim of this process whose call was certainly not sent. */
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
    const isDecided = await this.reader.waitFor(
      () => this.reader.projection.claims.has(key),
      claimWaitMs,
    );
    const claim = this.reader.projection.claims.get(key);
    if (!isDecided || !claim) {
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
      const { outcomeRetryAfterMs = 2_000 } = this.options;
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
