/** Sends the request to an endpoint, retries where that is allowed, and relays the response. */
import { randomUUID } from 'node:crypto';
import { Err, Ok } from '../core/results.js';
import type { VmId } from '../types/ids.js';
import type { EndpointClient } from '../types/endpoints.js';
import { Filter, type Exchange, type FilterResult } from '../types/exchange.js';
import type { Refusal } from '../core/codes.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService } from '../core/timers.js';
import type { ClaimController, StoredResponse } from '../controllers/claimController.js';
import type { EndpointController } from '../controllers/endpointController.js';
import type { SuspectController } from '../controllers/suspectController.js';
import type { RetryBudget } from '../routing/retryBudget.js';
import type { Attempt, AttemptResult } from '../relay/attempt.js';
import { runPlainCall } from '../relay/plainCall.js';
import { runBufferedChat } from '../relay/bufferedChat.js';
import { StreamedChat } from '../relay/streamedChat.js';
import type { SlotQueues } from './admit.js';

/** Options of the filter. */
export interface RelayOptions {
  readonly timers: TimerService;
  readonly metrics: Metrics;
  readonly client: EndpointClient;
  readonly endpoints: EndpointController;
  readonly queues: SlotQueues;
  readonly claims: ClaimController;
  readonly suspects: SuspectController;
  readonly retries: RetryBudget;
}

/** Maximum number of attempts of one request, including the first. */
const ATTEMPTS_MAX = 3;

/** How one kind of call runs an attempt, and how it ends without a complete response. */
interface Call {
  readonly run: (attempt: Attempt) => Promise<AttemptResult>;
  readonly canRepeat: () => boolean;
  readonly endWithRefusal: (refusal: Refusal) => Promise<Refusal>;
}

/** The last filter of the chain; calls the endpoint. */
export class Relay extends Filter {
  override readonly name = 'relay';

  constructor(private readonly options: RelayOptions) {
    super();
  }

  override async handle(exchange: Exchange): Promise<FilterResult> {
    const abortScope = this.createAbortScope(exchange);
    const call = this.createCall(exchange);
    try {
      const refusal = await this.runAttempts(exchange, call, abortScope.signal);
      return refusal ? Err(await call.endWithRefusal(refusal)) : Ok.EMPTY;
    } finally {
      abortScope.stop();
    }
  }

  /** Returns `undefined` after a complete response, and the refusal otherwise. */
  private async runAttempts(
    exchange: Exchange,
    call: Call,
    signal: AbortSignal,
  ): Promise<Refusal | undefined> {
    const { metrics, retries, suspects } = this.options;
    const tried = new Set<VmId>();
    let lastRefusal: Refusal | undefined;
    let wasSent = false;
    for (let number = 1; number <= ATTEMPTS_MAX; number += 1) {
      const result = await this.runAttempt(exchange, call, signal, tried, number, lastRefusal);
      if (result.kind === 'done') {
        retries.recordSuccess();
        suspects.recordSuccess(exchange.digest);
        return undefined;
      }
      lastRefusal = result.refusal;
      wasSent ||= result.kind === 'failed' && result.isSent;
      if (result.kind === 'refused' || !this.shouldRetry(exchange, call, result)) {
        break;
      }
      metrics.retries.inc({ target: 'endpoint', reason: result.reason });
    }
    return lastRefusal && correctExecutionState(lastRefusal, wasSent);
  }

  private async runAttempt(
    exchange: Exchange,
    call: Call,
    signal: AbortSignal,
    tried: Set<VmId>,
    number: number,
    lastRefusal: Refusal | undefined,
  ): Promise<AttemptResult> {
    const { timers, metrics, client, endpoints, queues } = this.options;
    const admitted = await queues.acquire(exchange, tried);
    if ('refusal' in admitted) {
      return { kind: 'refused', refusal: lastRefusal ?? admitted.refusal };
    }
    const { slot, recordCompletion } = admitted;
    tried.add(slot.endpoint.info.vm);
    // Callers may repeat an id, and workspaces may use the same one; an answer is attributed by the id of its attempt.
    const id = `${exchange.id}.${number}.${randomUUID()}`;
    const markLeaving = (vm: VmId) => endpoints.markLeaving(vm);
    try {
      return await call.run({ exchange, slot, client, timers, metrics, id, signal, markLeaving });
    } finally {
      slot.release({ kind: 'neutral' });
      recordCompletion();
    }
  }

  private shouldRetry(
    exchange: Exchange,
    call: Call,
    result: Extract<AttemptResult, { kind: 'failed' }>,
  ): boolean {
    const { timers, retries, suspects } = this.options;
    if (result.isSent && (!exchange.isRetryable || !call.canRepeat())) {
      return false;
    }
    if (suspects.isPoison(exchange.digest) || timers.now() >= exchange.deadline) {
      return false;
    }
    return !exchange.request.signal.aborted && retries.tryAcquire();
  }

  private createCall(exchange: Exchange): Call {
    const { route } = exchange;
    const returnUnchanged = async (refusal: Refusal) => refusal;
    if (route.kind === 'plain') {
      return {
        run: (attempt) =>
          runPlainCall(attempt, {
            path: route.path,
            recordOutcome: (outcome) => this.completeClaim(exchange, outcome),
          }),
        canRepeat: () => true,
        endWithRefusal: returnUnchanged,
      };
    }
    if (!route.chat.stream) {
      return {
        run: (attempt) =>
          runBufferedChat(attempt, {
            chat: route.chat,
            recordOutcome: (outcome) => this.completeClaim(exchange, outcome),
          }),
        canRepeat: () => true,
        endWithRefusal: returnUnchanged,
      };
    }
    const streamed = new StreamedChat({
      exchange,
      chat: route.chat,
      recordOutcome: () => this.completeClaim(exchange, undefined),
    });
    return {
      run: (attempt) => streamed.run(attempt),
      canRepeat: () => streamed.canContinue(),
      endWithRefusal: (refusal) => streamed.endWithRefusal(refusal),
    };
  }

  private async completeClaim(
    exchange: Exchange,
    outcome: StoredResponse | undefined,
  ): Promise<void> {
    if (exchange.claim) {
      await this.options.claims.complete(exchange.claim.key, exchange.id, outcome);
    }
  }

  /** Creates a signal that aborts when the caller disconnects or the deadline passes. */
  private createAbortScope(exchange: Exchange): { signal: AbortSignal; stop: () => void } {
    const { timers } = this.options;
    const controller = new AbortController();
    const abort = () => controller.abort();
    const { signal } = exchange.request;
    signal.addEventListener('abort', abort, { once: true });
    const cancelTimer = timers.subscribe(exchange.deadline - timers.now(), abort);
    const stop = () => {
      cancelTimer();
      signal.removeEventListener('abort', abort);
    };
    return { signal: controller.signal, stop };
  }
}

/** Replaces `not_run` if any attempt may have run the request, however the last attempt ended. */
function correctExecutionState(refusal: Refusal, wasSent: boolean): Refusal {
  return wasSent && refusal.ran === 'not_run' ? { ...refusal, ran: 'unknown' } : refusal;
}
