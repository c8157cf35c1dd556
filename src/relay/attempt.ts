/** One attempt of a call on one endpoint, and its result, which decides about a retry. */
import type { VmId } from '../types/ids.js';
import type {
  EndpointCall,
  EndpointResponse,
  EndpointClient,
  EndpointFailure,
} from '../types/endpoints.js';
import type { Exchange } from '../types/exchange.js';
import type { Metrics } from '../core/metrics.js';
import { createRefusal, type Refusal } from '../core/codes.js';
import type { TimerService } from '../core/timers.js';
import { assertNever } from '../core/utilities.js';
import type { Slot, SlotOutcome } from '../controllers/endpointController.js';

/** The reason why an attempt failed; a metric label. */
export type RetryReason =
  'unreachable' | 'broken' | 'silent' | 'rejected' | 'leaving' | 'serverError' | 'crossed' | 'cut';

/** The result of an attempt. */
export type AttemptResult =
  | { readonly kind: 'done' }
  /** `isSent` is false only if the call certainly did not run. */
  | {
      readonly kind: 'failed';
      readonly reason: RetryReason;
      readonly isSent: boolean;
      readonly refusal: Refusal;
    }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** The context of an attempt. */
export interface Attempt {
  readonly exchange: Exchange;
  readonly slot: Slot;
  readonly client: EndpointClient;
  readonly timers: TimerService;
  readonly metrics: Metrics;
  /** Identifies the attempt to the endpoint, in `ATTEMPT_HEADER`. */
  readonly id: string;
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  readonly markLeaving: (vm: VmId) => void;
}

/** Header that carries the attempt's id to the endpoint and back. */
export const ATTEMPT_HEADER = 'x-request-id';
/** Header in which an endpoint announces that it accepts no new calls. */
export const LEAVING_HEADER = 'x-endpoint-leaving';

/** Retry-after time in the refusal for a failed attempt. */
const FAILED_RETRY_AFTER_MS = 1_000;
const OUTCOME_STORE_TIMEOUT_MS = 500;

/** Releases the slot of a failed call, with its outcome, and returns the result of the attempt. */
export function failAttempt(attempt: Attempt, failure: EndpointFailure): AttemptResult {
  const { slot } = attempt;
  const outcome = getSlotOutcome(failure);
  slot.release(outcome);
  switch (failure.kind) {
    case 'unreachable':
      return createFailedResult('unreachable', false, 'endpointFailed', failure.detail);
    case 'broken':
      return createFailedResult('broken', true, 'endpointFailed', failure.detail);
    case 'silent':
      return createFailedResult('silent', true, 'endpointTimeout', failure.detail);
    case 'aborted':
      return { kind: 'refused', refusal: createRefusal('endpointTimeout') };
    default:
      return assertNever(failure.kind);
  }
}

/**
 * Checks the status and headers of a response. Returns `undefined` if the response can be relayed. A
 * response to another attempt, or a status 429 or 503, ends the attempt: neither is due to the request. On a connection
 * that may have carried other calls, a refusal without the attempt's id may be a late copy of one of their refusals, so
 * it does not prove that the call was not run.
 */
export function checkResponseHead(
  attempt: Attempt,
  response: EndpointResponse,
  { hasOwnConnection }: Pick<EndpointCall, 'hasOwnConnection'>,
): AttemptResult | undefined {
  const { slot, id, metrics } = attempt;
  const echoed = response.headers[ATTEMPT_HEADER];
  if (echoed !== undefined && echoed !== id) {
    metrics.crossedResponses.inc();
    response.abort();
    slot.release({ kind: 'failure' });
    return createFailedResult(
      'crossed',
      true,
      'endpointFailed',
      'the answer belonged to another request',
    );
  }
  const isLeaving = response.headers[LEAVING_HEADER] !== undefined;
  if (isLeaving) {
    attempt.markLeaving(slot.endpoint.info.vm);
  }
  if (response.status === 429 || response.status === 503) {
    response.abort();
    slot.release({ kind: 'rejection' });
    const reason = isLeaving ? 'leaving' : 'rejected';
    return echoed === id || hasOwnConnection
      ? createFailedResult(reason, false, 'endpointRefused')
      : createFailedResult(
          reason,
          true,
          'endpointFailed',
          'a refusal without the id of the request',
        );
  }
  return undefined;
}

/**
 * Waits for the outcome of a claimed call to be stored, so that a duplicate request to another router
 * finds it. The wait is bounded, since the response to the caller does not depend on it.
 */
export async function waitForOutcome({ timers }: Attempt, stored: Promise<void>): Promise<void> {
  await timers.isFulfilledWithin(stored, OUTCOME_STORE_TIMEOUT_MS);
}

/** Creates the result of a failed attempt. */
export function createFailedResult(
  reason: RetryReason,
  isSent: boolean,
  name: 'endpointFailed' | 'endpointTimeout' | 'endpointRefused' | 'answerCut',
  detail?: string,
): AttemptResult {
  const retryAfterMs = FAILED_RETRY_AFTER_MS;
  const ran = isSent ? undefined : 'not_run';
  return {
    kind: 'failed',
    reason,
    isSent,
    refusal: createRefusal(name, { detail, ran, retryAfterMs }),
  };
}

function getSlotOutcome(failure: EndpointFailure): SlotOutcome {
  switch (failure.kind) {
    case 'broken':
      return { kind: 'death' };
    case 'aborted':
      return { kind: 'neutral' };
    default:
      return { kind: 'failure' };
  }
}
