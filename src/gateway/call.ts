/** The state of one call while the gateway processes it. */
import type { Refusal } from '../core/codes.js';
import type { TokenHold } from '../escrow/escrowController.js';
import type { CallMetadata, Route, StreamOrigin, Workspace } from '../types/gateway.js';
import { getCallFeature, getPartFeatures } from '../poison/features.js';
import type { ServiceName, SoftwareVersion } from '../types/ids.js';
import type { Feature } from '../types/poison.js';
import type { CallerConnection } from './callerConnection.js';
import type { ActiveConfig } from './configController.js';
import type { CallLoad } from './load/ownLoad.js';

/** One call of a caller. Fields marked with a filter's name are set by that filter. */
export class GatewayCall {
  /** Set by `matchRoute`. */
  activeConfig!: ActiveConfig;

  /** Set by `matchRoute`. */
  route!: Route;

  /** Set by `matchRoute`. */
  service!: ServiceName;

  /** Set by `authenticateKey`; `undefined` if the route requires no key. */
  workspace: Workspace | undefined;

  /** The time by which the response must be complete. Set by `matchRoute`. */
  deadline = Number.POSITIVE_INFINITY;

  /** Set by `holdTokens` if the workspace has a token limit. */
  hold: TokenHold | undefined;

  /** Where the stream began; `undefined` until it has. */
  origin: StreamOrigin | undefined;

  /** Whether an endpoint may have executed the call. */
  mayHaveRun = false;

  /** Output tokens sent to the caller, rounded up to whole events. */
  deliveredTokens = 0;

  /** Time from the arrival of the call to the grant of the token hold, in milliseconds. */
  holdGrantedAfterMs: number | undefined;

  /** Time from the arrival of the call to the first event of the stream, in milliseconds. */
  firstEventAfterMs: number | undefined;

  /** The load that the next attempt puts on its endpoint, if its placement estimated it. */
  expectedLoad: CallLoad | undefined;

  /** The endpoint and result of each attempt, for the log. */
  readonly attempts: string[] = [];

  /** The software version of the endpoint of each attempt of a stream, for the log. */
  readonly attemptVersions: (SoftwareVersion | undefined)[] = [];

  private features: readonly Feature[] | undefined;

  constructor(
    readonly metadata: CallMetadata,
    readonly method: string,
    /** Path and query as received. */
    readonly target: string,
    readonly body: Buffer,
    readonly caller: CallerConnection,
    readonly arrivedAt: number,
  ) {}

  /** Returns the features by which calls that crash endpoints are recognized. */
  getFeatures(): readonly Feature[] {
    const { method, target, body, metadata } = this;
    this.features ??= [
      ...getPartFeatures(metadata.promptParts),
      getCallFeature({ method, target, body, workspace: this.workspace?.name ?? '' }),
    ];
    return this.features;
  }
}

/** How a call ended: `undefined` if an endpoint's response was sent, complete or truncated. */
export type CallOutcome = Refusal | undefined;
