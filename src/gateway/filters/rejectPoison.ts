/** Refuses a call of a kind that crashes endpoints. */
import { createRefusal, type Refusal } from '../../core/codes.js';
import { Err } from '../../core/results.js';
import type { PoisonController } from '../../poison/poisonController.js';
import { Filter, type FilterResult } from '../../types/exchange.js';
import type { GatewayCall } from '../call.js';

/** Ends matching calls before they hold tokens; the last filter checks again before each attempt. */
export class RejectPoison extends Filter<GatewayCall> {
  override readonly name = 'rejectPoison';

  constructor(private readonly poison: PoisonController) {
    super();
  }

  override async handle(
    call: GatewayCall,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    const refusal = getPoisonRefusal(this.poison, call);
    return refusal ? Err(refusal) : next();
  }
}

/** Returns the refusal of a call that crashes endpoints, or `undefined`. */
export function getPoisonRefusal(poison: PoisonController, call: GatewayCall): Refusal | undefined {
  const retryAfterMs = poison.getRefusalMs(() => call.getFeatures());
  return retryAfterMs === undefined
    ? undefined
    : createRefusal('poisonRequest', { ran: 'not_run', retryAfterMs });
}
