/** Finds the route of a call and chooses the service that handles it. */
import { createRefusal } from '../../core/codes.js';
import { Err } from '../../core/results.js';
import { Filter, type FilterResult } from '../../types/exchange.js';
import type { GatewayCall } from '../call.js';
import type { ActiveConfig } from '../configController.js';
import { chooseService } from '../routeTable.js';

/** Options of the filter. */
export interface MatchRouteOptions {
  readonly getConfig: () => ActiveConfig | undefined;
  /** In [0, 1). */
  readonly random: () => number;
}

const NOT_READY_RETRY_AFTER_MS = 1_000;

/** Sets `activeConfig`, `route`, `service` and `deadline`. */
export class MatchRoute extends Filter<GatewayCall> {
  override readonly name = 'matchRoute';

  constructor(private readonly options: MatchRouteOptions) {
    super();
  }

  override async handle(
    call: GatewayCall,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    const config = this.options.getConfig();
    if (!config) {
      return Err(createRefusal('notReady', { retryAfterMs: NOT_READY_RETRY_AFTER_MS }));
    }
    const { metadata, target, body, arrivedAt } = call;
    const [path = '/'] = target.split('?');
    const route = config.routes.find(metadata.host, path);
    const service = route && chooseService(route, this.options.random());
    if (!route || service === undefined) {
      return Err(createRefusal('unknownRoute'));
    }
    if (body.length > config.config.limits.bodyBytes) {
      return Err(createRefusal('bodyTooLarge'));
    }
    call.activeConfig = config;
    call.route = route;
    call.service = service;
    call.deadline = arrivedAt + Math.min(route.timeoutMs, metadata.timeoutMs ?? route.timeoutMs);
    return next();
  }
}
