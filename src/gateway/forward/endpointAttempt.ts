/** One attempt of a call on one endpoint. Updates the endpoint's state from the response. */
import type { Logger } from '../../core/logging.js';
import type { MemoryBudget } from '../../core/memoryBudget.js';
import type { Metrics } from '../../core/metrics.js';
import type { TimerService, Unsubscribe } from '../../core/timers.js';
import type { PoisonController } from '../../poison/poisonController.js';
import type { ResponseMetadata, HeaderCodec } from '../../types/gateway.js';
import type { SoftwareVersion } from '../../types/ids.js';
import type { GatewayCall } from '../call.js';
import type { EndpointDirectory } from '../endpointDirectory.js';
import type { EndpointInstance } from '../endpointInstance.js';
import type { CallInFlight, CallLoad, OwnLoad } from '../load/ownLoad.js';
import type { LimitController } from '../limits/limitController.js';
import {
  discardResponse,
  readResponseBody,
  type IncomingResponse,
  type StreamRelay,
} from './responseRelay.js';
import type { EndpointAgent } from './endpointAgent.js';
import { EndpointCall, isCloseDelimited } from './endpointCall.js';
import { isAbortable, type AttemptFailure } from './retryPolicy.js';

/** How an attempt ended. */
export type AttemptResult =
  | { readonly kind: 'done' }
  | { readonly kind: 'failed'; readonly failure: AttemptFailure }
  /** The caller disconnected, or the deadline passed. */
  | { readonly kind: 'aborted' };

/** Options of an attempt. */
export interface EndpointAttemptOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly codec: HeaderCodec;
  readonly directory: EndpointDirectory;
  readonly poison: PoisonController;
  readonly limits: LimitController;
  readonly ownLoad: OwnLoad;
  readonly agent: EndpointAgent;
  /** Shared by all attempts. */
  readonly responseMemory: MemoryBudget;
  /** Shared by all responses that callers have not read. */
  readonly unreadMemory: MemoryBudget;
  readonly call: GatewayCall;
  readonly endpoint: EndpointInstance;
  /** Present if the route is streamed. */
  readonly stream: StreamRelay | undefined;
}

/** An endpoint that still sends events so long after the first one does not crash by beginning the answer. */
const SURVIVAL_MS = 50;
const REFUSAL_BACKOFF_MS = 150; // a full endpoint has capacity again once it has completed a few calls
const UNREACHABLE_BACKOFF_MS = 400; // a restart takes longer than this; until it ends, each attempt delays a caller
const UNREAD_RESPONSE_TIMEOUT_MS = 30_000; // longer than callers wait for a response
const ABANDONED_CALL_TIMEOUT_MS = 30_000; // for calls without a waiting caller that may not be aborted
const SERVER_ERROR_STATUS = 500;
/** Statuses that imply that a call was not executed; such a response is trusted only with the header that confirms it. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Sends a call to one endpoint and relays the response. */
export class EndpointAttempt {
  private readonly endpointCall: EndpointCall;

  private readonly promptTokens: number;

  private readonly sentAt: number;

  /** As the entry stated it when the call was sent; a later entry may describe another start. */
  readonly softwareVersion: SoftwareVersion | undefined;

  private readonly inFlight: CallInFlight;

  private isPrefillDone = false;

  private firstEventAt: number | undefined;

  /** Whether the endpoint has begun to answer the call and has survived it. */
  private isAnswered = false;

  private isStopped = false;

  /** Aborted when the caller no longer waits for a call that goes on; `undefined` if the route's calls are aborted. */
  private readonly unneeded: AbortController | undefined;

  private cancelAbandonedTimeout: Unsubscribe = () => {};

  private resolveStopped: () => void = () => {};

  constructor(private readonly options: EndpointAttemptOptions) {
    const { call, endpoint, timers, agent, responseMemory } = options;
    this.unneeded = isAbortable(call.route) ? undefined : new AbortController();
    this.promptTokens = call.metadata.tokens?.prompt ?? 0;
    // A stream that resumes was answered by the endpoint before.
    this.isAnswered = options.stream?.hasSentEvents() ?? false;
    this.sentAt = timers.now();
    this.softwareVersion = endpoint.entry.softwareVersion;
    endpoint.recordSend(this.sentAt);
    endpoint.inFlight += 1;
    endpoint.pendingPrefillTokens += this.promptTokens;
    this.inFlight = options.ownLoad.start(
      endpoint.entry.id,
      call.expectedLoad ?? getUnplacedLoad(call),
    );
    this.endpointCall = new EndpointCall({
      agent,
      timers,
      responseMemory,
      callId: call.metadata.id,
      address: endpoint.entry,
      method: call.method,
      target: call.target,
      headers: this.createHeaders(),
      body: call.body,
    });
  }

  /** Resolves when the response has been sent to the caller, or with the reason why it was not. */
  async run(): Promise<AttemptResult> {
    const { endpoint } = this.options;
    const stopped = new Promise<AttemptResult>((resolve) => {
      this.resolveStopped = () => resolve({ kind: 'aborted' });
    });
    const ended = this.handleResult();
    const release = () => {
      this.cancelAbandonedTimeout();
      endpoint.inFlight -= 1;
      this.inFlight.end();
      this.recordPrefillDone();
    };
    ended.then(release, release);
    return Promise.race([ended, stopped]);
  }

  /**
   * Ends the attempt because the caller disconnected or the deadline passed. Aborts the endpoint's work if the route
   * allows that; otherwise only the wait ends.
   */
  stop(): void {
    const { call, timers } = this.options;
    this.isStopped = true;
    if (isAbortable(call.route)) {
      this.endpointCall.abort();
    } else {
      this.unneeded?.abort();
      // An endpoint that never ends its response must not keep the connection open.
      this.cancelAbandonedTimeout = timers.subscribe(ABANDONED_CALL_TIMEOUT_MS, () =>
        this.endpointCall.abort(),
      );
    }
    this.resolveStopped();
  }

  /** Records that the endpoint has sent events. */
  recordEvents(): void {
    const now = this.options.timers.now();
    if (this.firstEventAt === undefined) {
      this.firstEventAt = now;
      this.inFlight.recordFirstEvent(now - this.sentAt);
    }
    this.recordPrefillDone();
    if (now - this.firstEventAt >= SURVIVAL_MS) {
      this.recordAnswered();
    }
  }

  /** Records that the endpoint has completed the prefill of the prompt, or has ended the call. */
  recordPrefillDone(): void {
    if (!this.isPrefillDone) {
      this.isPrefillDone = true;
      this.options.endpoint.pendingPrefillTokens -= this.promptTokens;
    }
  }

  private createHeaders(): string[] {
    const { codec, call, endpoint, timers, stream } = this.options;
    return codec.createEndpointHeaders(call.metadata, {
      endpoint: endpoint.entry.id,
      workspace: call.workspace?.name,
      timeoutMs: call.deadline - timers.now(),
      urgency: call.metadata.tokens ? getUrgency(call) : undefined,
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
        return this.fail(result.kind, result.detail);
    }
  }

  private processResponse(response: IncomingResponse): Promise<AttemptResult> {
    const { codec, call, endpoint, directory, timers } = this.options;
    const { message } = response;
    const status = message.statusCode ?? 0;
    const metadata = codec.readResponse(call.metadata.id, status, message.rawHeaders);
    const isAmbiguous = this.endpointCall.isRepeatedOnConnection();
    if (isAmbiguous || !isAttributable(metadata, this.endpointCall.isConnectionReused())) {
      return this.abortAndFail('crossed', `status ${status}`);
    }
    this.applyEndpointSignals(metadata);
    if (metadata.isNotRun) {
      this.logNotRun(metadata);
      discardResponse(message, timers);
      if (metadata.isWrongEndpoint) {
        directory.markEnded(endpoint, 'replaced');
        return Promise.resolve({ kind: 'failed', failure: 'wrongEndpoint' });
      }
      endpoint.backoffUntil = timers.now() + REFUSAL_BACKOFF_MS;
      return Promise.resolve({ kind: 'failed', failure: 'refused' });
    }
    if ((isSuccess(metadata) && !metadata.isGenuine) || NOT_EXECUTED_STATUSES.has(status)) {
      return this.abortAndFail('notGenuine');
    }
    return this.options.stream && isSuccess(metadata)
      ? this.relayStream(response, metadata)
      : this.relayBuffered(response, metadata);
  }

  /** Applies what the response headers say about the endpoint, whatever the status. */
  private applyEndpointSignals(metadata: ResponseMetadata): void {
    const { isLeaving, retryAfterMs, limit, warmupMs, isGenuine, malformed } = metadata;
    const { directory, endpoint, limits, logger } = this.options;
    if (isLeaving) {
      directory.markEnded(endpoint, 'leaving');
    }
    if (retryAfterMs !== undefined) {
      directory.applyRetryAfter(endpoint, retryAfterMs);
    }
    limits.recordResponse(endpoint, {
      limit,
      warmupMs,
      isSuccess: isSuccess(metadata) && isGenuine,
      sentAt: this.sentAt,
    });
    if (malformed.length > 0) {
      logger.warn('endpoint sent malformed response headers', {
        endpoint: endpoint.entry.id,
        malformed,
      });
    }
  }

  private async relayStream(
    response: IncomingResponse,
    metadata: ResponseMetadata,
  ): Promise<AttemptResult> {
    const { stream, endpoint, timers } = this.options;
    const result = await stream!.relay(response, metadata);
    if (result.kind === 'broken') {
      return this.isStopped ? { kind: 'aborted' } : this.fail('broken', result.detail);
    }
    endpoint.breaker.record(true, timers.now());
    this.recordAnswered();
    return { kind: 'done' };
  }

  private async relayBuffered(
    response: IncomingResponse,
    metadata: ResponseMetadata,
  ): Promise<AttemptResult> {
    const { responseMemory, endpoint, timers } = this.options;
    const result = await readResponseBody(response, responseMemory, this.unneeded?.signal);
    if (result.kind === 'discarded') {
      endpoint.breaker.record(true, timers.now());
      this.recordAnswered();
      return { kind: 'aborted' };
    }
    if (result.kind === 'broken') {
      return this.isStopped ? { kind: 'aborted' } : this.fail('broken', result.detail);
    }
    return this.deliverBuffered(response, metadata, result.body);
  }

  private deliverBuffered(
    response: IncomingResponse,
    metadata: ResponseMetadata,
    body: Buffer,
  ): AttemptResult {
    const { call, endpoint, timers } = this.options;
    if (isSuccess(metadata) && body.length === 0 && this.isBodyExpected(response)) {
      return this.fail('broken', 'connection ended before the body');
    }
    if (metadata.status >= SERVER_ERROR_STATUS && this.isFailoverPossible()) {
      return this.fail('serverError');
    }
    endpoint.breaker.record(true, timers.now());
    this.recordAnswered();
    if (this.isStopped || call.caller.isHeadSent()) {
      return { kind: 'aborted' };
    }
    if (isSuccess(metadata)) {
      // A buffered response does not state its tokens, so it is charged the declared maximum.
      call.deliveredTokens = Math.max(1, call.metadata.tokens?.maxOutput ?? 0);
    }
    call.caller.send(metadata.status, metadata.forwardedHeaders, body);
    this.boundUnreadResponse(body.length);
    return { kind: 'done' };
  }

  /** Counts a response until its caller has read it; drops it if unread responses need too much memory or time. */
  private boundUnreadResponse(bytes: number): void {
    const { call, timers, unreadMemory } = this.options;
    const share = unreadMemory.open(() => this.dropUnreadResponse('responses exceed their memory'));
    const cancelTimeout = timers.subscribe(UNREAD_RESPONSE_TIMEOUT_MS, () =>
      this.dropUnreadResponse('not read in time'),
    );
    call.caller.onClose(() => {
      cancelTimeout();
      share.close();
    });
    share.add(bytes);
  }

  /** Closes the connection of a caller that has not read its response, so that the response does not look complete. */
  private dropUnreadResponse(detail: string): void {
    const { call, logger, metrics } = this.options;
    metrics.evictedResponses.inc();
    logger.warn('unread response dropped', { request: call.metadata.id, detail });
    call.caller.destroy();
  }

  /** Returns whether a body was to follow until the end of the connection; without it, the endpoint may have stopped. */
  private isBodyExpected({ message }: IncomingResponse): boolean {
    return this.options.call.method !== 'HEAD' && isCloseDelimited(message);
  }

  /** Returns whether another endpoint may execute the call; if not, the server error is passed to the caller. */
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

  /** Fails the attempt and closes its connection, whose bytes can't be trusted. */
  private abortAndFail(failure: AttemptFailure, detail?: string): Promise<AttemptResult> {
    this.endpointCall.abort();
    return Promise.resolve(this.fail(failure, detail));
  }

  private fail(failure: AttemptFailure, detail?: string): AttemptResult {
    const { endpoint, timers, poison, call } = this.options;
    this.logFailure(failure, detail);
    endpoint.breaker.record(false, timers.now());
    if (failure === 'unreachable') {
      endpoint.backoffUntil = timers.now() + UNREACHABLE_BACKOFF_MS;
      endpoint.warmup.recordUnreachable(timers.now());
    }
    if (failure === 'broken' && !this.isAnswered) {
      poison.recordBroken(endpoint.entry, { route: call.route.name, features: call.getFeatures() });
    }
    return { kind: 'failed', failure };
  }

  private recordAnswered(): void {
    if (!this.isAnswered) {
      const { call, poison } = this.options;
      this.isAnswered = true;
      poison.recordAnswered({ route: call.route.name, features: call.getFeatures() });
    }
  }

  /** A call that must run once is sent again after this, so the log shows on what evidence. */
  private logNotRun({ status, isWrongEndpoint }: ResponseMetadata): void {
    const { call, endpoint, timers, logger } = this.options;
    if (call.route.repeatability === 'once') {
      logger.info('endpoint refused a call', {
        request: call.metadata.id,
        endpoint: endpoint.entry.id,
        startedAtMs: endpoint.entry.startedAtMs,
        address: `${endpoint.entry.host}:${endpoint.entry.port}`,
        status,
        isWrongEndpoint,
        sentMsAgo: Math.round(timers.now() - this.sentAt),
        isConnectionReused: this.endpointCall.isConnectionReused(),
        isRepeatedOnConnection: this.endpointCall.isRepeatedOnConnection(),
      });
    }
  }

  private logFailure(failure: AttemptFailure, detail: string | undefined): void {
    const { call, endpoint, timers, logger } = this.options;
    logger.info('attempt failed', {
      request: call.metadata.id,
      endpoint: endpoint.entry.id,
      startedAtMs: endpoint.entry.startedAtMs,
      failure,
      detail,
      sentMsAgo: Math.round(timers.now() - this.sentAt),
      isPrefillDone: this.isPrefillDone,
      promptParts: call.metadata.promptParts.map(({ id }) => id),
    });
  }
}

/**
 * Returns whether a response belongs to the call that runs on its connection. On a connection that carried other calls,
 * a response without a call id may be a late copy of one of their responses.
 *
 * @example
 * isAttributable({ isCrossed: false, hasCallId: false }, true); // false
 */
export function isAttributable(
  { isCrossed, hasCallId }: Pick<ResponseMetadata, 'isCrossed' | 'hasCallId'>,
  isConnectionReused: boolean,
): boolean {
  return !isCrossed && (hasCallId || !isConnectionReused);
}

/** Returns the load of a call whose placement did not estimate what the endpoint has cached. */
function getUnplacedLoad({ metadata }: GatewayCall): CallLoad {
  const { prompt = 0, maxOutput = 0 } = metadata.tokens ?? {};
  return {
    prefillTokens: prompt,
    memoryTokens: prompt + (metadata.expectedOutputTokens ?? maxOutput),
    tokensUntilFirstEvent: 0,
  };
}

function isSuccess({ status }: ResponseMetadata): boolean {
  return status >= 200 && status < 300;
}

const RANK_COUNT = 3;
const URGENCY_MAX = 9;

/** Orders calls by the rank of the workspace, then by the rank of the route; 0 is most urgent. */
function getUrgency({ workspace, route }: GatewayCall): number {
  const rank = workspace?.rank ?? route.rank;
  return Math.max(
    0,
    Math.min(URGENCY_MAX, rank * RANK_COUNT + Math.min(route.rank, RANK_COUNT - 1)),
  );
}
