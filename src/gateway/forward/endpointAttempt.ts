/** One try of a call on one endpoint, with what it tells about the endpoint. */
import type { Agent } from 'node:http';
import type { SuspectController } from '../../controllers/suspectController.js';
import type { Logger } from '../../core/logging.js';
import type { TimerService, Unsubscribe } from '../../core/timers.js';
import type { AnswerFacts, HeaderCodec } from '../../types/gateway.js';
import type { GatewayCall } from '../call.js';
import type { EndpointDirectory, EndpointInstance } from '../endpointDirectory.js';
import {
  discardResponse,
  readResponseBody,
  type IncomingResponse,
  type StreamRelay,
} from './responseRelay.js';
import { EndpointCall } from './endpointCall.js';
import { isAbortable, type AttemptFailure } from './retryPolicy.js';

/** How a try ended. */
export type AttemptResult =
  | { readonly kind: 'done' }
  | { readonly kind: 'failed'; readonly failure: AttemptFailure }
  /** The caller left, or the deadline came. */
  | { readonly kind: 'aborted' };

/** Options of a try. */
export interface EndpointAttemptOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly codec: HeaderCodec;
  readonly directory: EndpointDirectory;
  readonly suspects: SuspectController;
  readonly agent: Agent;
  readonly call: GatewayCall;
  readonly endpoint: EndpointInstance;
  /** Present where the answer is a stream. */
  readonly stream: StreamRelay | undefined;
}

const REFUSAL_BACKOFF_MS = 150; // an endpoint that refuses for lack of room has some again after a few answers
const UNREACHABLE_BACKOFF_MS = 400; // a process that starts again needs longer; until then each try costs a caller's time
const ABANDONED_CALL_TIMEOUT_MS = 30_000; // calls that nobody waits for any more and that may not be broken off
const SERVER_ERROR_STATUS = 500;
/** Statuses that promise that a call has not run; an endpoint's own word for it is another header. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** One try. */
export class EndpointAttempt {
  private readonly endpointCall: EndpointCall;

  private readonly promptTokens: number;

  private isPrefillDone = false;

  private isStopped = false;

  private cancelAbandonedTimeout: Unsubscribe = () => {};

  private resolveStopped: () => void = () => {};

  constructor(private readonly options: EndpointAttemptOptions) {
    const { call, endpoint, timers, agent } = options;
    this.promptTokens = call.facts.tokens?.prompt ?? 0;
    endpoint.inFlight += 1;
    endpoint.pendingPrefillTokens += this.promptTokens;
    this.endpointCall = new EndpointCall({
      agent,
      timers,
      address: endpoint.entry,
      method: call.method,
      target: call.target,
      headers: this.createHeaders(),
      body: call.body,
    });
  }

  /** Resolves when the answer has gone to the caller, or why it has not. */
  async run(): Promise<AttemptResult> {
    const { endpoint } = this.options;
    const stopped = new Promise<AttemptResult>((resolve) => {
      this.resolveStopped = () => resolve({ kind: 'aborted' });
    });
    const ended = this.handleResult();
    const release = () => {
      this.cancelAbandonedTimeout();
      endpoint.inFlight -= 1;
      this.recordPrefillDone();
    };
    ended.then(release, release);
    return Promise.race([ended, stopped]);
  }

  /**
   * Ends the try: the caller left or the deadline came. The endpoint's work is broken off, unless the call may not
   * be repeated; then only the wait ends.
   */
  stop(): void {
    const { call, timers } = this.options;
    this.isStopped = true;
    if (isAbortable(call.route)) {
      this.endpointCall.abort();
    } else {
      // What still comes would go to nobody; an endpoint that never ends must not keep the connection.
      this.cancelAbandonedTimeout = timers.subscribe(ABANDONED_CALL_TIMEOUT_MS, () =>
        this.endpointCall.abort(),
      );
    }
    this.resolveStopped();
  }

  /** Notes that the endpoint has read the prompt, or has ended its work on it. */
  recordPrefillDone(): void {
    if (!this.isPrefillDone) {
      this.isPrefillDone = true;
      this.options.endpoint.pendingPrefillTokens -= this.promptTokens;
    }
  }

  private createHeaders(): string[] {
    const { codec, call, endpoint, timers, stream } = this.options;
    return codec.createEndpointHeaders(call.facts, {
      endpoint: endpoint.entry.id,
      workspace: call.workspace?.name,
      waitMs: call.deadline - timers.now(),
      urgency: call.facts.tokens ? getUrgency(call) : undefined,
      lastEventId: stream?.getLastEventId(),
      bodyBytes: call.body.length,
    });
  }

  private async handleResult(): Promise<AttemptResult> {
    const result = await this.endpointCall.result;
    switch (result.kind) {
      case 'answered':
        return this.processResponse({
          message: result.response,
          isErrorFree: () => this.endpointCall.isErrorFree(),
        });
      case 'aborted':
        return { kind: 'aborted' };
      default:
        return this.fail(result.kind);
    }
  }

  private processResponse(response: IncomingResponse): Promise<AttemptResult> {
    const { codec, call, endpoint, directory, timers } = this.options;
    const { message } = response;
    const status = message.statusCode ?? 0;
    const facts = codec.readAnswer(call.facts.id, status, message.rawHeaders);
    if (facts.isCrossed) {
      return this.abortAndFail('crossed');
    }
    this.applyEndpointSignals(facts);
    if (facts.isNotRun) {
      discardResponse(message, timers);
      if (facts.isWrongEndpoint) {
        directory.markEnded(endpoint, 'replaced');
        return Promise.resolve({ kind: 'failed', failure: 'wrongEndpoint' });
      }
      endpoint.backoffUntil = timers.now() + REFUSAL_BACKOFF_MS;
      return Promise.resolve({ kind: 'failed', failure: 'refused' });
    }
    if ((isSuccess(facts) && !facts.isGenuine) || NOT_EXECUTED_STATUSES.has(status)) {
      return this.abortAndFail('notGenuine');
    }
    return this.options.stream && isSuccess(facts)
      ? this.relayStream(response, facts)
      : this.relayBuffered(response, facts);
  }

  /** Notes what the endpoint says of itself, whatever it answers. */
  private applyEndpointSignals({ isLeaving, spareMs, malformed }: AnswerFacts): void {
    const { directory, endpoint, logger } = this.options;
    if (isLeaving) {
      directory.markEnded(endpoint, 'leaving');
    }
    if (spareMs !== undefined) {
      directory.applyRetryAfter(endpoint, spareMs);
    }
    if (malformed.length > 0) {
      logger.warn('malformed headers of an endpoint', { endpoint: endpoint.entry.id, malformed });
    }
  }

  private async relayStream(
    response: IncomingResponse,
    facts: AnswerFacts,
  ): Promise<AttemptResult> {
    const { stream, endpoint, timers, suspects, call } = this.options;
    const end = await stream!.relay(response, facts);
    if (end.kind === 'broken') {
      return this.isStopped ? { kind: 'aborted' } : this.fail('broken');
    }
    endpoint.breaker.record(true, timers.now());
    suspects.recordSuccess(call.digest);
    return { kind: 'done' };
  }

  private async relayBuffered(
    response: IncomingResponse,
    facts: AnswerFacts,
  ): Promise<AttemptResult> {
    const { call, endpoint, timers, suspects } = this.options;
    const body = await readResponseBody(response);
    if (!body) {
      return this.isStopped ? { kind: 'aborted' } : this.fail('broken');
    }
    if (facts.status >= SERVER_ERROR_STATUS && this.isFailoverPossible()) {
      return this.fail('serverError');
    }
    endpoint.breaker.record(true, timers.now());
    suspects.recordSuccess(call.digest);
    if (this.isStopped || call.caller.isHeadSent()) {
      return { kind: 'aborted' };
    }
    if (isSuccess(facts)) {
      // A whole answer does not tell its tokens, so it costs the most that it may have.
      call.deliveredTokens = Math.max(1, call.facts.tokens?.maxOutput ?? 0);
    }
    call.caller.send(facts.status, facts.passedHeaders, body);
    return { kind: 'done' };
  }

  /** An endpoint's own failure goes to the caller where no other endpoint may run the call. */
  private isFailoverPossible(): boolean {
    const { call, directory, endpoint } = this.options;
    const others = directory.getEndpoints(call.service).filter((other) => other !== endpoint);
    return (
      call.route.repeatability !== 'once' &&
      !call.mayHaveRun &&
      call.route.attempts > 1 &&
      others.length > 0
    );
  }

  /** Ends the use of a connection whose bytes can't be trusted. */
  private abortAndFail(failure: AttemptFailure): Promise<AttemptResult> {
    this.endpointCall.abort();
    return Promise.resolve(this.fail(failure));
  }

  private fail(failure: AttemptFailure): AttemptResult {
    const { endpoint, timers, suspects, call } = this.options;
    endpoint.breaker.record(false, timers.now());
    if (failure === 'unreachable') {
      endpoint.backoffUntil = timers.now() + UNREACHABLE_BACKOFF_MS;
    }
    if (failure === 'broken' && call.facts.tokens) {
      suspects.recordCrash([call.digest]);
    }
    return { kind: 'failed', failure };
  }
}

function isSuccess({ status }: AnswerFacts): boolean {
  return status >= 200 && status < 300;
}

const RANK_COUNT = 3;
const URGENCY_MAX = 9;

/** The rank of the workspace goes before that of the route, which orders the calls of one rank; 0 goes first. */
function getUrgency({ workspace, route }: GatewayCall): number {
  const rank = workspace?.rank ?? route.rank;
  return Math.max(
    0,
    Math.min(URGENCY_MAX, rank * RANK_COUNT + Math.min(route.rank, RANK_COUNT - 1)),
  );
}
