/** Sends a call to endpoints until one answers, within what may be repeated. */
import type { SuspectController } from '../../controllers/suspectController.js';
import { createRefusal, type CodeName, type Refusal } from '../../core/codes.js';
import { Err, Ok } from '../../core/results.js';
import type { Logger } from '../../core/logging.js';
import type { Metrics } from '../../core/metrics.js';
import type { TimerService, Unsubscribe } from '../../core/timers.js';
import { getOrCreate, readPendingInput } from '../../core/utilities.js';
import { Filter, type FilterResult } from '../../types/exchange.js';
import type { HeaderCodec } from '../../types/gateway.js';
import type { ServiceName } from '../../types/ids.js';
import type { GatewayCall } from '../call.js';
import type { EndpointDirectory, KnownEndpoint } from '../endpointDirectory.js';
import { EndpointAgent } from '../forward/endpointAgent.js';
import { EndpointTry, type TryResult } from '../forward/endpointTry.js';
import { RetryAllowance } from '../forward/retryAllowance.js';
import {
  isNotRunFailure,
  mayBreakOff,
  mayTryAgain,
  type TryFailure,
} from '../forward/retryDecision.js';
import { StreamRelay } from '../forward/answerRelay.js';
import { choosePlacement } from '../placement.js';

/** Options of the filter. */
export interface ForwardCallOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly codec: HeaderCodec;
  readonly directory: EndpointDirectory;
  readonly suspects: SuspectController;
  readonly availabilityZone: string;
  readonly retryWindowMs: number;
  readonly retryShare: number;
  readonly retryReserve: number;
  readonly getRouters: () => number;
  readonly random: () => number;
}

const NO_ENDPOINT_COME_BACK_MS = 500;
const REFUSED_COME_BACK_MS = 300;

/** The last filter of the chain. */
export class ForwardCall extends Filter<GatewayCall> {
  override readonly name = 'forwardCall';

  private readonly agent = new EndpointAgent();

  private readonly allowances = new Map<ServiceName, RetryAllowance>();

  constructor(private readonly options: ForwardCallOptions) {
    super();
  }

  override async handle(call: GatewayCall): Promise<FilterResult> {
    // After a stall the end of a connection is read after the call that came on it.
    await readPendingInput();
    if (call.caller.isGone()) {
      call.tries.push('caller left before the first send');
      return Ok.EMPTY;
    }
    this.getAllowance(call.service).recordCall(this.options.timers.now());
    return new CallForwarder(call, this.options, this.agent, this.getAllowance(call.service)).run();
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }

  private getAllowance(service: ServiceName): RetryAllowance {
    const { retryWindowMs, retryShare, retryReserve, getRouters } = this.options;
    return getOrCreate(
      this.allowances,
      service,
      () =>
        new RetryAllowance({
          windowMs: retryWindowMs,
          share: retryShare,
          reserve: retryReserve,
          getRouters,
        }),
    );
  }
}

/** One call over all its tries. */
class CallForwarder {
  private readonly tried = new Set<KnownEndpoint>();

  private runs = 0;

  private readonly stream: StreamRelay | undefined;

  private current: EndpointTry | undefined;

  private isLate = false;

  constructor(
    private readonly call: GatewayCall,
    private readonly options: ForwardCallOptions,
    private readonly agent: EndpointAgent,
    private readonly allowance: RetryAllowance,
  ) {
    if (call.route.isStream) {
      const service = call.config.config.services.find(({ name }) => name === call.service);
      this.stream = new StreamRelay({
        call,
        tokensPerEvent: service?.engine?.tokensPerEvent ?? 1,
        onFirstEvent: () => {
          const elapsedMs = options.timers.now() - call.arrivedAt;
          call.firstEventAfterMs ??= Math.round(elapsedMs);
          this.current?.recordRead();
        },
      });
    }
  }

  async run(): Promise<FilterResult> {
    const { call } = this;
    const cancelDeadline = this.watchDeadline();
    const cancelLeave = call.caller.onLeave(() => this.onLeave());
    try {
      return await this.tryEndpoints();
    } finally {
      cancelDeadline();
      cancelLeave();
    }
  }

  private async tryEndpoints(): Promise<FilterResult> {
    for (;;) {
      const endpoint = this.pickEndpoint();
      if (!endpoint) {
        return this.giveUp(
          createRefusal('noEndpoint', {
            retryAfterMs: this.getComeBackMs(NO_ENDPOINT_COME_BACK_MS),
          }),
        );
      }
      // Each try depends on how the one before it ended.
      const result = await this.tryEndpoint(endpoint);
      if (result.kind === 'done' || result.kind === 'aborted') {
        return this.finish(result);
      }
      const refusal = this.getRefusal(result.failure);
      if (!this.mayTryAgain(result.failure) || this.call.caller.isGone()) {
        return this.giveUp(refusal);
      }
      // A call that reached nobody is no repeat when it is sent again.
      const isRepeat = result.failure !== 'unreachable';
      if (isRepeat && !this.allowance.tryTake(this.options.timers.now())) {
        return this.giveUp(
          this.call.mayHaveRun
            ? refusal
            : createRefusal('retryBudgetSpent', { retryAfterMs: REFUSED_COME_BACK_MS }),
        );
      }
      this.options.metrics.retries.inc({ target: 'endpoint', reason: result.failure });
    }
  }

  private async tryEndpoint(endpoint: KnownEndpoint): Promise<TryResult> {
    const { call, options, agent, stream } = this;
    this.tried.add(endpoint);
    this.current = new EndpointTry({ ...options, call, agent, endpoint, stream });
    const result = await this.current.run();
    const hasRun = result.kind !== 'failed' || !isNotRunFailure(result.failure);
    this.runs += hasRun ? 1 : 0;
    call.mayHaveRun ||= hasRun;
    call.tries.push(
      `${endpoint.entry.id} ${result.kind === 'failed' ? result.failure : result.kind}`,
    );
    return result;
  }

  private pickEndpoint(): KnownEndpoint | undefined {
    const { directory, timers, availabilityZone, random } = this.options;
    const { facts, service } = this.call;
    const now = timers.now();
    const usable = directory
      .getEndpoints(service)
      .filter((endpoint) => !this.tried.has(endpoint) && endpoint.isPermitted(now));
    const open = usable.filter((endpoint) => endpoint.isUsable(now));
    const candidates = open.length > 0 ? open : usable;
    const index = choosePlacement(
      candidates.map(({ entry, inFlight, unreadTokens }) => ({
        id: entry.id,
        availabilityZone: entry.availabilityZone,
        slots: entry.slots,
        inFlight,
        unreadTokens,
      })),
      { promptParts: facts.promptParts, availabilityZone },
      random,
    );
    return candidates[index];
  }

  /** Returns when an endpoint will take calls again, where all that there are have asked to be spared. */
  private getComeBackMs(otherwiseMs: number): number {
    const { directory, timers } = this.options;
    const now = timers.now();
    const staying = directory.getEndpoints(this.call.service).filter(({ isLeaving }) => !isLeaving);
    const spared = staying.map(({ sparedUntil }) => sparedUntil - now);
    const isSpared = spared.length > 0 && spared.every((leftMs) => leftMs > 0);
    return isSpared ? Math.max(otherwiseMs, Math.min(...spared)) : otherwiseMs;
  }

  private mayTryAgain(failure: TryFailure): boolean {
    const { call, runs, stream, tried } = this;
    return (
      !this.isLate &&
      mayTryAgain({
        failure,
        repeatability: call.route.repeatability,
        attempts: call.route.attempts,
        runs,
        tries: tried.size,
        isStarted: stream?.isStarted() ?? false,
        canResume: stream?.getLastEventId() !== undefined,
        timeLeftMs: call.deadline - this.options.timers.now(),
      })
    );
  }

  private watchDeadline(): Unsubscribe {
    const { timers } = this.options;
    return timers.subscribe(Math.max(0, this.call.deadline - timers.now()), () => {
      this.isLate = true;
      this.current?.stop();
    });
  }

  private onLeave(): void {
    if (mayBreakOff(this.call.route)) {
      this.current?.stop();
    }
  }

  private finish(result: TryResult): FilterResult {
    if (result.kind === 'done' || this.call.caller.isGone()) {
      return Ok.EMPTY;
    }
    return this.giveUp(createRefusal('endpointTimeout'));
  }

  /** Ends a call without a whole answer: a started one by breaking its connection. */
  private giveUp(refusal: Refusal): FilterResult {
    const { caller, mayHaveRun } = this.call;
    if (caller.isStarted()) {
      caller.destroy();
      return Err(createRefusal('answerCut', { detail: refusal.detail }));
    }
    if (!mayHaveRun) {
      return Err({ ...refusal, ran: 'not_run' });
    }
    // Whatever the last try says, an earlier one may have run.
    const name: CodeName =
      refusal.name === 'endpointTimeout' ? 'endpointTimeout' : 'endpointFailed';
    return Err(createRefusal(name, { detail: refusal.detail }));
  }

  private getRefusal(failure: TryFailure): Refusal {
    if (this.isLate || failure === 'silent') {
      return this.call.mayHaveRun
        ? createRefusal('endpointTimeout')
        : createRefusal('deadlineUnmeetable', { retryAfterMs: REFUSED_COME_BACK_MS });
    }
    if (isNotRunFailure(failure)) {
      return createRefusal('noEndpoint', {
        detail: `the last endpoint: ${failure}`,
        retryAfterMs: this.getComeBackMs(REFUSED_COME_BACK_MS),
      });
    }
    return createRefusal('endpointFailed', { detail: `the last endpoint: ${failure}` });
  }
}
