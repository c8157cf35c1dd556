/** Finds the workspace of the caller's key in the active configuration. */
import { createRefusal } from '../../core/codes.js';
import { Err } from '../../core/results.js';
import { Filter, type FilterResult } from '../../types/exchange.js';
import type { GatewayCall } from '../call.js';

/** Sets `workspace`. */
export class AuthenticateKey extends Filter<GatewayCall> {
  override readonly name = 'authenticateKey';

  override async handle(
    call: GatewayCall,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    const { workspacesByKey } = call.activeConfig;
    const { keyHash } = call.metadata;
    call.workspace = keyHash === undefined ? undefined : workspacesByKey?.get(keyHash);
    if (workspacesByKey && !call.route.isPublic && !call.workspace) {
      return Err(createRefusal('invalidKey'));
    }
    return next();
  }
}
