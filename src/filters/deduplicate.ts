/**
 * Recognises repeated request ids on this router: refuses an id that is reused with another body or
 * while its request is still running, and does not charge a billed request again.
 */
import { Err } from '../core/results.js';
import { LRUCache } from 'lru-cache';
import { Filter, type Exchange, type FilterResult } from '../types/exchange.js';
import { createRefusal } from '../core/codes.js';
import type { SuspectController } from '../controllers/suspectController.js';

/** Options of the filter. */
export interface DeduplicateOptions {
  readonly suspects: SuspectController;
  /** Maximum number of request ids to remember. Default 20,000. */
  readonly capacity?: number;
}

interface KnownRequest {
  readonly digest: string;
  isRunning: boolean;
  isBilled: boolean;
  /** Number of runs that were not charged because the request was billed before. */
  unchargedRuns: number;
}

const IN_PROGRESS_RETRY_AFTER_MS = 1_000;
/** Maximum number of uncharged runs of a billed request, for callers that lost the response. */
const UNCHARGED_RUNS_MAX = 3;

/** Checks the id and the body against earlier requests. Sets `isAlreadyBilled`. */
export class Deduplicate extends Filter {
  override readonly name = 'deduplicate';

  private readonly requests: LRUCache<string, KnownRequest>;

  constructor(private readonly options: DeduplicateOptions) {
    super();
    this.requests = new LRUCache({ max: options.capacity ?? 20_000 });
  }

  override async handle(
    exchange: Exchange,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    if (this.options.suspects.isPoison(exchange.digest)) {
      return Err(createRefusal('poisonRequest', { ran: 'not_run' }));
    }
    return exchange.hasCallerId ? this.handleWithCallerId(exchange, next) : next();
  }

  private async handleWithCallerId(
    exchange: Exchange,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    const id = `${exchange.key.workspace}\n${exchange.id}`;
    const { digest } = exchange;
    const knownRequest = this.requests.get(id) ?? {
      digest,
      isRunning: false,
      isBilled: false,
      unchargedRuns: 0,
    };
    if (knownRequest.digest !== digest) {
      return Err(createRefusal('keyReused'));
    }
    if (knownRequest.isRunning) {
      return Err(createRefusal('inProgress', { retryAfterMs: IN_PROGRESS_RETRY_AFTER_MS }));
    }
    if (knownRequest.unchargedRuns >= UNCHARGED_RUNS_MAX) {
      return Err(createRefusal('repeatedTooOften'));
    }
    this.requests.set(id, knownRequest);
    knownRequest.unchargedRuns += knownRequest.isBilled && !exchange.isAtMostOnce ? 1 : 0;
    knownRequest.isRunning = true;
    exchange.isAlreadyBilled = knownRequest.isBilled;
    try {
      return await next();
    } finally {
      knownRequest.isRunning = false;
      knownRequest.isBilled ||= exchange.isBilled;
    }
  }
}
