/** One try of a call on one endpoint, and what its end means for the next one. */
import type { VmId } from '../types/ids.js';
import type { EndpointAnswer, EndpointClient, EndpointFailure } from '../types/endpoints.js';
import type { Exchange } from '../types/exchange.js';
import type { Metrics } from '../core/metrics.js';
import { createRefusal, type Refusal } from '../core/codes.js';
import type { TimerService } from '../core/timers.js';
import { assertNever } from '../core/utilities.js';
import type { Slot, SlotOutcome } from '../controllers/endpointController.js';

/** Why an attempt failed, as counted in metrics. */
export type RetryReason =
  'unreachable' | 'broken' | 'silent' | 'rejected' | 'leaving' | 'serverError' | 'crossed' | 'cut';

/** How an attempt ended. */
export type AttemptResult =
  | { readonly kind: 'done' }
  /** `sent` is false where the call certainly did not run. */
  | {
      readonly kind: 'failed';
      readonly reason: RetryReason;
      readonly isSent: boolean;
      readonly refusal: Refusal;
    }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** What an attempt works with. */
export interface Attempt {
  readonly exchange: Exchange;
  readonly slot: Slot;
  readonly client: EndpointClient;
  readonly timers: TimerService;
  readonly metrics: Metrics;
  /** Names the attempt towards the endpoint. */
  readonly id: string;
  /** Ends with the caller's leaving or the deadline. */
  readonly signal: AbortSignal;
  readonly markLeaving: (vm: VmId) => void;
}

/** Header that names the attempt towards endpoints and back. */
export const ATTEMPT_HEADER = 'x-request-id';
/** Header in which an endpoint says that it takes no new work. */
export const LEAVING_HEADER = 'x-endpoint-leaving';

const FAILED_RETRY_AFTER_MS = 1_000;
const OUTCOME_STORE_TIMEOUT_MS = 500;

/** Returns the result for a call that failed, and tells the endpoint's health. */
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
 * Looks at the head of an answer. Returns `undefined` where the answer is to be relayed; a status
 * that speaks of the endpoint and not of the request ends the attempt.
 */
export function checkAnswerHead(
  attempt: Attempt,
  answer: EndpointAnswer,
): AttemptResult | undefined {
  const { slot, id, metrics } = attempt;
  const echoed = answer.headers[ATTEMPT_HEADER];
  if (echoed !== undefined && echoed !== id) {
    metrics.crossings.inc();
    answer.abort();
    slot.release({ kind: 'failure' });
    return createFailedResult(
      'crossed',
      true,
      'endpointFailed',
      'the answer belonged to another request',
    );
  }
  const leaving = answer.headers[LEAVING_HEADER] !== undefined;
  if (leaving) {
    attempt.markLeaving(slot.endpoint.info.vm);
  }
  if (answer.status === 429 || answer.status === 503) {
    answer.abort();
    slot.release({ kind: 'rejection' });
    return createFailedResult(leaving ? 'leaving' : 'rejected', false, 'endpointRefused');
  }
  return undefined;
}

/**
 * Waits for the outcome of a claimed call to be stored, so that a repeat elsewhere finds the answer.
 * Bounded: the caller's own answer does not depend on it.
 */
export async function waitForOutcome({ timers }: Attempt, kept: Promise<void>): Promise<void> {
  await timers.isDoneWithin(kept, OUTCOME_STORE_TIMEOUT_MS);
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
