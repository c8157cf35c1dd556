/** Sends a call to endpoints until one responds, within the limits on retries. */
import { createRefusal, type CodeName, type Refusal } from '../../core/codes.js';
import { Err, Ok, type Result } from '../../core/results.js';
import type { Logger } from '../../core/logging.js';
import { MemoryBudget } from '../../core/memoryBudget.js';
import type { Metrics } from '../../core/metrics.js';
import type { TimerService, Unsubscribe } from '../../core/timers.js';
import { getOrCreate, readPendingInput } from '../../core/utilities.js';
import type { PoisonController } from '../../poison/poisonController.js';
import { Filter, type FilterResult } from '../../types/exchange.js';
import type { HeaderCodec } from '../../types/gateway.js';
import type { ServiceName } from '../../types/ids.js';
import type { GatewayCall } from '../call.js';
import type { EndpointDirectory } from '../endpointDirectory.js';
import type { EndpointInstance } from '../endpointInstance.js';
import { EndpointAgent } from '../forward/endpointAgent.js';
import {
  EndpointAttempt,
  type AttemptResult,
  type EndpointAttemptOptions,
} from '../forward/endpointAttempt.js';
import { ServiceRetryBudget } from '../forward/serviceRetryBudget.js';
import {
  isNotRunFailure,
  isAbortable,
  isRetryAllowed,
  type AttemptFailure,
} from '../forward/retryPolicy.js';
import { StreamRelay } from '../forward/responseRelay.js';
import type { LimitController } from '../limits/limitController.js';
import { decideAdmission } from '../load/admission.js';
import type { EndpointLoadController } from '../load/endpointLoadController.js';
import { placeByFleet } from '../load/fleetPlacement.js';
import type { RefusalLog } from '../load/refusalLog.js';
import { createDrainingRefusal, isForwardingAllowed } from '../stopPolicy.js';
import { choosePlacement } from '../placement.js';
import type { StreamOrigins } from '../streams/streamOrigins.js';
import { getPoisonRefusal } from './rejectPoison.js';

/** Options of the filter. */
export interface ForwardCallOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly codec: HeaderCodec;
  readonly directory: EndpointDirectory;
  readonly poison: PoisonController;
  readonly limits: LimitController;
  readonly load: EndpointLoadController;
  readonly refusalLog: RefusalLog;
  readonly origins: StreamOrigins;
  readonly availabilityZone: string;
  readonly retryWindowMs: number;
  readonly retryRatio: number;
  readonly retryBurst: number;
  /** Memory that the process may use. */
  readonly memoryMb: number;
  readonly getRouterCount: () => number;
  /** Returns when a stop ends the calls in flight, or `undefined` while new calls are accepted. */
  readonly getStopDeadline: () => number | undefined;
  readonly random: () => number;
}

/** What the attempts of all calls share. */
type EndpointConnections = Pick<
  EndpointAttemptOptions,
  'agent' | 'responseMemory' | 'unreadMemory'
>;

/** Sound responses are small. Buffers that are no longer in use add several times as much until they are collected. */
const RESPONSE_BYTES_IN_FLIGHT_MAX = 24 * 1_048_576;
/** The part of the process's memory for responses that callers have not read. */
const UNREAD_MEMORY_RATIO = 0.125; // buffers have up to twice the size of the bodies that they hold
const BYTES_PER_MB = 1_048_576;
const NO_ENDPOINT_RETRY_AFTER_MS = 500;
const REFUSED_RETRY_AFTER_MS = 300;
const LIMITED_RETRY_AFTER_MAX_MS = 1_000;

/** The last filter of the chain. Ends the call with a response or a refusal. */
export class ForwardCall extends Filter<GatewayCall> {
  override readonly name = 'forwardCall';

  private readonly connections: EndpointConnections;

  private readonly openForwarders = new Set<CallForwarder>();

  private readonly retryBudgets = new Map<ServiceName, ServiceRetryBudget>();

  constructor(private readonly options: ForwardCallOptions) {
    super();
    const { timers, memoryMb } = options;
    this.connections = {
      agent: new EndpointAgent(),
      responseMemory: new MemoryBudget({ limitBytes: RESPONSE_BYTES_IN_FLIGHT_MAX }),
      // With timers, large responses that have been unread for long are dropped first.
      unreadMemory: new MemoryBudget({
        limitBytes: memoryMb * BYTES_PER_MB * UNREAD_MEMORY_RATIO,
        timers,
      }),
    };
  }

  override async handle(call: GatewayCall): Promise<FilterResult> {
    // After an event loop stall, the end of the caller's connection may still be unread.
    await readPendingInput();
    if (call.caller.isDisconnected()) {
      call.attempts.push('caller disconnected before the first attempt');
      return Ok.EMPTY;
    }
    const retryBudget = this.getRetryBudget(call.service);
    retryBudget.recordCall(this.options.timers.now());
    const forwarder = new CallForwarder(call, this.options, this.connections, retryBudget);
    this.openForwarders.add(forwarder);
    try {
      return await forwarder.run();
    } finally {
      this.openForwarders.delete(forwarder);
    }
  }

  /** Ends all calls in flight as if their deadlines had passed. */
  endCalls(): void {
    this.openForwarders.forEach((forwarder) => forwarder.onDeadline());
  }

  /** Closes idle connections. */
  close(): void {
    this.connections.agent.destroy();
  }

  private getRetryBudget(service: ServiceName): ServiceRetryBudget {
    const { retryWindowMs, retryRatio, retryBurst, getRouterCount } = this.options;
    return getOrCreate(
      this.retryBudgets,
      service,
      () =>
        new ServiceRetryBudget({
          windowMs: retryWindowMs,
          ratio: retryRatio,
          burst: retryBurst,
          getRouterCount,
        }),
    );
  }
}

/** One call over all its attempts. */
class CallForwarder {
  private readonly triedEndpoints = new Set<EndpointInstance>();

  private runCount = 0;

  private readonly stream: StreamRelay | undefined;

  private currentAttempt: EndpointAttempt | undefined;

  private isDeadlineExceeded = false;

  /** Whether an endpoint has sent an event. */
  private hasBegun = false;

  constructor(
    private readonly call: GatewayCall,
    private readonly options: ForwardCallOptions,
    private readonly connections: EndpointConnections,
    private readonly retryBudget: ServiceRetryBudget,
  ) {
    if (call.route.isStream) {
      const service = call.activeConfig.config.services.find(({ name }) => name === call.service);
      this.stream = new StreamRelay({
        call,
        tokensPerEvent: service?.engine?.tokensPerEvent ?? 1,
        responseMemory: connections.responseMemory,
        onEvents: () => this.recordEvents(),
      });
    }
  }

  async run(): Promise<FilterResult> {
    const { call } = this;
    const cancelDeadline = this.watchDeadline();
    const cancelDisconnect = call.caller.onDisconnect(() => this.onDisconnect());
    try {
      return await this.tryEndpoints();
    } finally {
      cancelDeadline();
      cancelDisconnect();
    }
  }

  /** Ends the call without waiting for an endpoint any longer. */
  onDeadline(): void {
    this.isDeadlineExceeded = true;
    this.currentAttempt?.stop();
  }

  private recordEvents(): void {
    const { call, currentAttempt, options } = this;
    call.firstEventAfterMs ??= Math.round(options.timers.now() - call.arrivedAt);
    if (!this.hasBegun) {
      this.hasBegun = true;
      const origin = call.origin ?? { version: currentAttempt?.softwareVersion };
      call.origin = origin;
      // A stream that goes on is known by the call that began it.
      if (call.route.repeatability === 'resumable' && call.metadata.lastEventId === undefined) {
        options.origins.recordBegin(call, { service: call.service, version: origin.version });
      }
    }
    currentAttempt?.recordEvents();
  }

  private async tryEndpoints(): Promise<FilterResult> {
    for (;;) {
      // The call may have waited for tokens, or have crashed an endpoint itself, since it passed the filter.
      const poisonRefusal = getPoisonRefusal(this.options.poison, this.call);
      if (poisonRefusal) {
        return this.fail(poisonRefusal);
      }
      if (!this.call.mayHaveRun && !this.canEndBeforeStop()) {
        return this.fail(createDrainingRefusal());
      }
      const choice = this.chooseEndpoint();
      if (choice.err) {
        return this.fail(choice.val);
      }
      // Attempts are sequential: each depends on how the previous one ended.
      const result = await this.tryEndpoint(choice.val);
      if (result.kind === 'done' || result.kind === 'aborted') {
        return this.finish(result);
      }
      const refusal = this.getRefusal(result.failure);
      if (!this.isRetryAllowed(result.failure) || this.call.caller.isDisconnected()) {
        return this.fail(refusal);
      }
      // The call reached no endpoint, so its next send is not a retry and is not charged to the retry budget.
      const isRetry = result.failure !== 'unreachable';
      if (isRetry && !this.retryBudget.tryAcquire(this.options.timers.now())) {
        return this.fail(
          this.call.mayHaveRun
            ? refusal
            : createRefusal('retryBudgetSpent', { retryAfterMs: REFUSED_RETRY_AFTER_MS }),
        );
      }
      this.options.metrics.retries.inc({ target: 'endpoint', reason: result.failure });
    }
  }

  private async tryEndpoint(endpoint: EndpointInstance): Promise<AttemptResult> {
    const { call, options, connections, stream } = this;
    this.triedEndpoints.add(endpoint);
    if (stream) {
      call.attemptVersions.push(endpoint.entry.softwareVersion);
    }
    if (endpoint.isLimited(options.timers.now())) {
      options.metrics.limitedCalls.inc();
    }
    this.currentAttempt = new EndpointAttempt({
      ...options,
      ownLoad: options.load.own,
      ...connections,
      call,
      endpoint,
      stream,
    });
    const result = await this.currentAttempt.run();
    const mayHaveRun = result.kind !== 'failed' || !isNotRunFailure(result.failure);
    this.runCount += mayHaveRun ? 1 : 0;
    call.mayHaveRun ||= mayHaveRun;
    call.attempts.push(
      `${endpoint.entry.id} ${result.kind === 'failed' ? result.failure : result.kind}`,
    );
    return result;
  }

  private chooseEndpoint(): Result<EndpointInstance, Refusal> {
    const { timers, load } = this.options;
    const { metadata } = this.call;
    const now = timers.now();
    const matching = this.getMatchingEndpoints();
    if (this.call.origin && matching.length === 0) {
      return Err(createRefusal('streamVersionGone', { retryAfterMs: NO_ENDPOINT_RETRY_AFTER_MS }));
    }
    const eligible = this.preferAnnounced(
      matching.filter((endpoint) => !this.triedEndpoints.has(endpoint) && endpoint.isEligible(now)),
    );
    const available = eligible.filter((endpoint) => endpoint.isAvailable(now));
    // A call that an endpoint with a limit could take now and does not get is lost to it; the others get all the more.
    const limited = available.filter(({ limit }) => limit.isInForce());
    const candidates = [limited, available, eligible].find((each) => each.length > 0) ?? [];
    this.call.expectedLoad = undefined;
    if (candidates.length > 0 && metadata.tokens && load.isUsable()) {
      return this.placeByFleet(candidates, candidates === available, now);
    }
    return this.placeByOwnCalls(candidates);
  }

  /** Returns the endpoints that take new calls and can continue the call's stream, if it has begun. */
  private getMatchingEndpoints(): readonly EndpointInstance[] {
    const { origin, service } = this.call;
    const endpoints = this.options.directory
      .getEndpoints(service)
      .filter(({ isLeaving, isEvacuated }) => !isLeaving && !isEvacuated);
    return origin
      ? endpoints.filter(
          ({ entry }) => origin.version !== undefined && entry.softwareVersion === origin.version,
        )
      : endpoints;
  }

  /**
   * Leaves out endpoints of versions that other vms can't know of yet, unless there are no others: a stream that begins
   * there could be taken up at another version.
   */
  private preferAnnounced(endpoints: readonly EndpointInstance[]): readonly EndpointInstance[] {
    const { origin, route, service } = this.call;
    if (origin || route.repeatability !== 'resumable') {
      return endpoints;
    }
    const { origins } = this.options;
    const announced = endpoints.filter(({ entry }) =>
      origins.isAnnounced(service, entry.softwareVersion),
    );
    return announced.length > 0 ? announced : endpoints;
  }

  private placeByOwnCalls(
    candidates: readonly EndpointInstance[],
  ): Result<EndpointInstance, Refusal> {
    const { availabilityZone, random } = this.options;
    const index = choosePlacement(
      candidates.map(({ entry, inFlight, pendingPrefillTokens }) => ({
        id: entry.id,
        availabilityZone: entry.availabilityZone,
        slots: entry.slots,
        inFlight,
        pendingPrefillTokens,
      })),
      { promptParts: this.call.metadata.promptParts, availabilityZone },
      random,
    );
    const endpoint = candidates[index];
    return endpoint
      ? Ok(endpoint)
      : Err(
          createRefusal('noEndpoint', {
            retryAfterMs: this.getRetryAfterMs(NO_ENDPOINT_RETRY_AFTER_MS),
          }),
        );
  }

  /** Places a call by the load of the fleet. Only a call that certainly has not run may be refused because of it. */
  private placeByFleet(
    candidates: readonly EndpointInstance[],
    isRefusable: boolean,
    now: number,
  ): Result<EndpointInstance, Refusal> {
    const { call, options } = this;
    const { availabilityZone, random, load, refusalLog } = options;
    const placement = placeByFleet(call, {
      endpoints: candidates,
      fleet: load.fleet,
      availabilityZone,
      random,
      nowMs: now,
    });
    const { admissionInputs: inputs } = placement;
    const admission = decideAdmission(inputs, random);
    if (isRefusable && !call.mayHaveRun && admission.kind === 'refused') {
      const { reason, retryAfterMs } = admission;
      refusalLog.record({ request: call.metadata.id, reason, retryAfterMs, inputs }, now);
      return Err(
        createRefusal(reason === 'deadline' ? 'deadlineUnmeetable' : 'noEndpoint', {
          detail: `load of the endpoints: ${reason}`,
          retryAfterMs,
        }),
      );
    }
    const endpoint = candidates[placement.index];
    if (!endpoint) {
      return this.placeByOwnCalls(candidates);
    }
    call.expectedLoad = placement.load;
    return Ok(endpoint);
  }

  /**
   * Returns the time until the first endpoint accepts calls again if none does now, but at least the default. The caller's
   * next call probably comes to another gateway, so a limit on this one's calls says little, and spreads the callers.
   */
  private getRetryAfterMs(defaultMs: number): number {
    const { timers, random } = this.options;
    const now = timers.now();
    const activeEndpoints = this.getMatchingEndpoints();
    const waitMs = Math.min(...activeEndpoints.map((endpoint) => endpoint.getWaitMs(now)));
    if (activeEndpoints.some((endpoint) => endpoint.isLimited(now))) {
      return Math.max(defaultMs, Math.min(waitMs, LIMITED_RETRY_AFTER_MAX_MS)) * (1 + random());
    }
    return Number.isFinite(waitMs) ? Math.max(defaultMs, waitMs) : defaultMs;
  }

  private isRetryAllowed(failure: AttemptFailure): boolean {
    const { call, runCount, stream, triedEndpoints } = this;
    return (
      !this.isDeadlineExceeded &&
      isRetryAllowed({
        failure,
        repeatability: call.route.repeatability,
        maxRuns: call.route.attempts,
        runCount,
        attemptCount: triedEndpoints.size,
        hasSentEvents: stream?.hasSentEvents() ?? false,
        canResume: stream?.getLastEventId() !== undefined,
        timeLeftMs: call.deadline - this.options.timers.now(),
      })
    );
  }

  private canEndBeforeStop(): boolean {
    const { call, options } = this;
    return isForwardingAllowed({
      callDeadline: call.deadline,
      stopDeadline: options.getStopDeadline(),
    });
  }

  private watchDeadline(): Unsubscribe {
    const { timers } = this.options;
    return timers.subscribe(Math.max(0, this.call.deadline - timers.now()), () =>
      this.onDeadline(),
    );
  }

  private onDisconnect(): void {
    if (isAbortable(this.call.route)) {
      this.currentAttempt?.stop();
    }
  }

  private finish(result: AttemptResult): FilterResult {
    if (result.kind === 'done' || this.call.caller.isDisconnected()) {
      return Ok.EMPTY;
    }
    return this.fail(createRefusal('endpointTimeout'));
  }

  /** Ends a call without a complete response; a response that has started is cut by destroying the connection. */
  private fail(refusal: Refusal): FilterResult {
    const { caller, mayHaveRun } = this.call;
    if (caller.isHeadSent()) {
      caller.destroy();
      return Err(createRefusal('answerCut', { detail: refusal.detail }));
    }
    if (!mayHaveRun) {
      return Err({ ...refusal, ran: 'not_run' });
    }
    // An earlier attempt may have executed the call, even if the last one did not.
    const name: CodeName =
      refusal.name === 'endpointTimeout' ? 'endpointTimeout' : 'endpointFailed';
    return Err(createRefusal(name, { detail: refusal.detail }));
  }

  private getRefusal(failure: AttemptFailure): Refusal {
    if (this.isDeadlineExceeded || failure === 'silent') {
      return this.call.mayHaveRun
        ? createRefusal('endpointTimeout')
        : createRefusal('deadlineUnmeetable', { retryAfterMs: REFUSED_RETRY_AFTER_MS });
    }
    if (isNotRunFailure(failure)) {
      return createRefusal('noEndpoint', {
        detail: `the last endpoint: ${failure}`,
        retryAfterMs: this.getRetryAfterMs(REFUSED_RETRY_AFTER_MS),
      });
    }
    return createRefusal('endpointFailed', { detail: `the last endpoint: ${failure}` });
  }
}
