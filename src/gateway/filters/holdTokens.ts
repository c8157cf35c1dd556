/** Sets aside what a call may use at its most, and settles what it used. */
import type { TimerService } from '../../core/timers.js';
import { Err } from '../../core/results.js';
import type { EscrowController } from '../../escrow/escrowController.js';
import { Filter, type FilterResult } from '../../types/exchange.js';
import { brandId, type BudgetId } from '../../types/ids.js';
import type { GatewayCall } from '../call.js';

/** Sets `hold`. */
export class HoldTokens extends Filter<GatewayCall> {
  override readonly name = 'holdTokens';

  constructor(
    private readonly escrow: EscrowController,
    private readonly timers: TimerService,
  ) {
    super();
  }

  override async handle(
    call: GatewayCall,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    const { workspace, facts } = call;
    if (!workspace || workspace.prepaidTokens === undefined || !facts.tokens) {
      return next();
    }
    const { prompt, maxOutput } = facts.tokens;
    const budget: BudgetId = brandId(workspace.name);
    const held = await this.escrow.hold(budget, prompt + maxOutput);
    if (held.kind === 'refused') {
      return Err(held.refusal);
    }
    call.hold = held.hold;
    call.heldAfterMs = Math.round(this.timers.now() - call.arrivedAt);
    try {
      return await next();
    } finally {
      // Input counts once, as soon as an endpoint may have read it; output as it was delivered.
      held.hold.settle(call.mayHaveRun ? prompt + Math.min(maxOutput, call.deliveredTokens) : 0);
    }
  }
}
