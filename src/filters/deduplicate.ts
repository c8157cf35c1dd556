/**
 * Recognises requests that this router has seen: refuses an id that comes with another body or while
 * it is still running, and keeps one that was billed from being charged again.
 */
import { Err } from '../core/results.js';
import { LRUCache } from 'lru-cache';
import { Filter, type Exchange, type FilterResult } from '../types/exchange.js';
import { createRefusal } from '../core/codes.js';
import type { SuspectController } from '../controllers/suspectController.js';

/** Options of the filter. */
export interface DeduplicateOptions {
  readonly suspects: SuspectController;
  /** How many ids are remembered. Default 20,000. */
  readonly remembered?: number;
}

interface KnownRequest {
  readonly digest: string;
  running: boolean;
  billed: boolean;
  /** Runs that were not charged, since the request was billed before. */
  uncharged: number;
}

const IN_PROGRESS_COME_BACK_MS = 1_000;
/** A billed request may run again without charge so often, for callers that lost its answer. */
const UNCHARGED_RUNS_MAX = 3;

/** Checks the id and the body against what this router saw before. Sets `wasBilled`. */
export class Deduplicate extends Filter {
  override readonly name = 'deduplicate';

  private readonly known: LRUCache<string, KnownRequest>;

  constructor(private readonly options: DeduplicateOptions) {
    super();
    this.known = new LRUCache({ max: options.remembered ?? 20_000 });
  }

  override async handle(
    exchange: Exchange,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    if (this.options.suspects.isPoison(exchange.digest)) {
      return Err(createRefusal('poisonRequest', { ran: 'not_run' }));
    }
    return exchange.hasCallerId ? this.handleKnown(exchange, next) : next();
  }

  private async handleKnown(
    exchange: Exchange,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    const id = `${exchange.key.workspace}\n${exchange.id}`;
    const { digest } = exchange;
    const known = this.known.get(id) ?? { digest, running: false, billed: false, uncharged: 0 };
    if (known.digest !== digest) {
      return Err(createRefusal('keyReused'));
    }
    if (known.running) {
      return Err(createRefusal('inProgress', { retryAfterMs: IN_PROGRESS_COME_BACK_MS }));
    }
    if (known.uncharged >= UNCHARGED_RUNS_MAX) {
      return Err(createRefusal('repeatedTooOften'));
    }
    this.known.set(id, known);
    known.uncharged += known.billed && !exchange.once ? 1 : 0;
    known.running = true;
    exchange.wasBilled = known.billed;
    try {
      return await next();
    } finally {
      known.running = false;
      known.billed ||= exchange.isBilled;
    }
  }
}
