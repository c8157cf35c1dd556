/** Claims at-most-once calls, and replays the stored response of a call that already ran. */
import { Err, Ok } from '../core/results.js';
import type { ClaimKey } from '../types/ids.js';
import { brandId } from '../types/ids.js';
import { Filter, type Exchange, type FilterResult } from '../types/exchange.js';
import { createRefusal, type Refusal } from '../core/codes.js';
import type { TimerService } from '../core/timers.js';
import type { ClaimController } from '../controllers/claimController.js';

/** Options of the filter. */
export interface ClaimOptions {
  readonly timers: TimerService;
  readonly claims: ClaimController;
}

/** Response header that marks a replayed response. */
export const REPLAY_HEADER = 'x-replayed';

/** Returns the claim key of a call: its workspace and request id. */
export function getClaimKey(exchange: Exchange): ClaimKey {
  return brandId(`${exchange.key.workspace}/${exchange.id}`);
}

/** Sets `claim` for at-most-once calls. */
export class ClaimCall extends Filter {
  override readonly name = 'claim';

  constructor(private readonly options: ClaimOptions) {
    super();
  }

  override async handle(
    exchange: Exchange,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    if (!exchange.isAtMostOnce) {
      return next();
    }
    const { claims } = this.options;
    const key = getClaimKey(exchange);
    const claimed = await claims.claim(key, exchange.id, exchange.digest);
    if (claimed.err) {
      return claimed;
    }
    if (claimed.val.kind === 'replay') {
      const { status, contentType, body } = claimed.val.outcome;
      exchange.response.send(status, { 'content-type': contentType, [REPLAY_HEADER]: 'yes' }, body);
      return Ok.EMPTY;
    }
    exchange.claim = { key };
    const result = await this.runUnlessExpired(exchange, next);
    if (result.err && result.val.ran === 'not_run') {
      claims.release(key, exchange.id);
    }
    return result;
  }

  /** Sends nothing if the deadline passed during the claim, for example because this process was paused. */
  private runUnlessExpired(
    exchange: Exchange,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    const isExpired = this.options.timers.now() >= exchange.deadline;
    if (isExpired || exchange.request.signal.aborted) {
      const refusal: Refusal = createRefusal('deadlineUnmeetable');
      return Promise.resolve(Err(refusal));
    }
    return next();
  }
}
