/** Refuses an id that comes again with another body, and bodies that crash endpoints. */
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

/** Checks the id and the body against what this router saw before. */
export class Deduplicate extends Filter {
  override readonly name = 'deduplicate';

  private readonly digests: LRUCache<string, string>;

  constructor(private readonly options: DeduplicateOptions) {
    super();
    this.digests = new LRUCache({ max: options.remembered ?? 20_000 });
  }

  override async handle(
    exchange: Exchange,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    if (this.options.suspects.isPoison(exchange.digest)) {
      return Err(createRefusal('poisonRequest', { ran: 'not_run' }));
    }
    if (exchange.hasCallerId) {
      const id = `${exchange.key.workspace}\n${exchange.id}`;
      const known = this.digests.get(id);
      if (known !== undefined && known !== exchange.digest) {
        return Err(createRefusal('keyReused'));
      }
      this.digests.set(id, exchange.digest);
    }
    return next();
  }
}
