/** Authenticates the caller by its API key. */
import { Err } from '../core/results.js';
import { Filter, type Exchange, type FilterResult } from '../types/exchange.js';
import { createRefusal } from '../core/codes.js';
import { getSha256 } from '../core/utilities.js';
import type { ActiveRules } from '../controllers/rulesController.js';

/** Options of the filter. */
export interface AuthenticateOptions {
  readonly getRules: () => ActiveRules | undefined;
}

const NOT_READY_RETRY_AFTER_MS = 2_000;

/** Sets `rules` and `key`. */
export class Authenticate extends Filter {
  override readonly name = 'authenticate';

  constructor(private readonly options: AuthenticateOptions) {
    super();
  }

  override async handle(
    exchange: Exchange,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    const rules = this.options.getRules();
    if (!rules) {
      return Err(createRefusal('notReady', { retryAfterMs: NOT_READY_RETRY_AFTER_MS }));
    }
    const [, secret] = /^Bearer (\S+)$/i.exec(exchange.request.headers.authorization ?? '') ?? [];
    const key = secret && rules.set.keysBySha256.get(getSha256(secret));
    if (!key) {
      return Err(createRefusal('invalidKey'));
    }
    exchange.rules = rules.set;
    exchange.key = key;
    return next();
  }
}
