/** Finds out where a stream began that a caller takes up again. */
import { createRefusal } from '../../core/codes.js';
import { Err } from '../../core/results.js';
import { Filter, type FilterResult } from '../../types/exchange.js';
import type { GatewayCall } from '../call.js';
import type { StreamOrigins } from '../streams/streamOrigins.js';

/** Sets `origin` of a call that takes a stream up, and the service that began it. */
export class ResolveStream extends Filter<GatewayCall> {
  override readonly name = 'resolveStream';

  constructor(private readonly origins: StreamOrigins) {
    super();
  }

  override async handle(
    call: GatewayCall,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    const { route, metadata } = call;
    const { lastEventId, resumedCallId } = metadata;
    if (!route.isStream || (lastEventId === undefined && resumedCallId === undefined)) {
      return next();
    }
    const decision = await this.origins.find(call);
    if (decision.kind === 'unknown') {
      return Err(
        createRefusal('streamVersionUnknown', {
          detail: decision.reason,
          retryAfterMs: this.origins.getRetryAfterMs(),
        }),
      );
    }
    // The weights of a route may have chosen another of its services than the first time.
    if (!route.split.some(({ service }) => service === decision.service)) {
      return Err(
        createRefusal('streamVersionGone', {
          detail: 'the route no longer leads to the service that began the stream',
          retryAfterMs: this.origins.getRetryAfterMs(),
        }),
      );
    }
    call.service = decision.service;
    call.origin = { version: decision.version };
    return next();
  }
}
