/** One call of a caller on its way through the gateway. */
import type { Refusal } from '../core/codes.js';
import type { TokenHold } from '../escrow/escrowController.js';
import type { CallFacts, Route, Workspace } from '../types/gateway.js';
import type { ServiceName } from '../types/ids.js';
import type { CallerConnection } from './callerConnection.js';
import type { ActiveConfig } from './configController.js';

/** The state of one call. Fields marked with a filter's name are set by it. */
export class GatewayCall {
  /** Set by `matchRoute`. */
  activeConfig!: ActiveConfig;

  /** Set by `matchRoute`. */
  route!: Route;

  /** Set by `matchRoute`. */
  service!: ServiceName;

  /** Set by `authenticate`; `undefined` where the route needs no key. */
  workspace: Workspace | undefined;

  /** When the final answer is due. Set by `matchRoute`. */
  deadline = Number.POSITIVE_INFINITY;

  /** Identifies path, caller and body. Set by `rejectSuspect` where the call declares tokens. */
  digest = '';

  /** Set by `holdTokens` where the workspace's tokens are limited. */
  hold: TokenHold | undefined;

  /** Whether an endpoint may have run the call. */
  mayHaveRun = false;

  /** Output tokens that went to the caller, rounded up to whole events. */
  deliveredTokens = 0;

  /** When tokens were set aside, and when the first event came, in milliseconds after the arrival. */
  holdGrantedAfterMs: number | undefined;

  firstEventAfterMs: number | undefined;

  /** Endpoints that the call was sent to, and why each try ended, for the log. */
  readonly attempts: string[] = [];

  constructor(
    readonly facts: CallFacts,
    readonly method: string,
    /** Path with its query, as sent. */
    readonly target: string,
    readonly body: Buffer,
    readonly caller: CallerConnection,
    readonly arrivedAt: number,
  ) {}
}

/** How a call ended: `undefined` where an endpoint's answer went out, whole or cut. */
export type CallOutcome = Refusal | undefined;
