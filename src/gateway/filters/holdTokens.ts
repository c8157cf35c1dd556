/** Holds the most tokens that a call may use, and settles the tokens that it used. */
import type { TimerService } from '../../core/timers.js';
import { Err } from '../../core/results.js';
import type { EscrowController } from '../../escrow/escrowController.js';
import { Filter, type FilterResult } from '../../types/exchange.js';
import { brandId, type BudgetId } from '../../types/ids.js';
import type { DeclaredTokens } from '../../types/gateway.js';
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
    const { workspace, metadata } = call;
    if (!workspace || workspace.prepaidTokens === undefined || !metadata.tokens) {
      return next();
    }
    const { prompt, maxOutput } = metadata.tokens;
    const budget: BudgetId = brandId(workspace.name);
    const result = await this.escrow.hold(budget, prompt + maxOutput);
    if (result.kind === 'refused') {
      return Err(result.refusal);
    }
    call.hold = result.hold;
    call.holdGrantedAfterMs = Math.round(this.timers.now() - call.arrivedAt);
    try {
      return await next();
    } finally {
      result.hold.settle(getUsedTokens(metadata.tokens, call.deliveredTokens));
    }
  }
}

/**
 * Returns the tokens that a call is charged for: its output as delivered, and its input once there is any output. A
 * call without delivered output, because the endpoint failed or the caller disconnected, is free. A service may state a
 * fraction of a token for each event, and account records hold whole tokens.
 *
 * @example
 * getUsedTokens({ prompt: 900, maxOutput: 100 }, 7.5); // 908
 */
export function getUsedTokens({ prompt, maxOutput }: DeclaredTokens, delivered: number): number {
  return delivered > 0 ? prompt + Math.min(maxOutput, Math.ceil(delivered)) : 0;
}
