/** Refuses a call that has crashed the endpoints that executed it. */
import type { SuspectController } from '../../controllers/suspectController.js';
import { createRefusal } from '../../core/codes.js';
import { Err } from '../../core/results.js';
import { getSha256 } from '../../core/utilities.js';
import { Filter, type FilterResult } from '../../types/exchange.js';
import type { GatewayCall } from '../call.js';

/** Sets `digest`. */
export class RejectSuspect extends Filter<GatewayCall> {
  override readonly name = 'rejectSuspect';

  constructor(private readonly suspects: SuspectController) {
    super();
  }

  override async handle(
    call: GatewayCall,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    const { method, target, body, workspace, metadata } = call;
    // Only calls to model engines, which declare tokens, become suspects; others need no digest.
    if (!metadata.tokens) {
      return next();
    }
    call.digest = getSha256(`${method} ${target}\n${workspace?.name ?? ''}\n`, body);
    if (this.suspects.isPoison(call.digest)) {
      return Err(createRefusal('poisonRequest', { ran: 'not_run' }));
    }
    return next();
  }
}
