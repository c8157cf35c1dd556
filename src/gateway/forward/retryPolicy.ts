/**
 * Decides whether a call is sent to another endpoint after one refused it, failed or did not respond. A retry must not
 * execute a non-repeatable call twice, and must not amplify an overload.
 */
import type { Repeatability, Route } from '../../types/gateway.js';

/** Why an attempt produced no response for the caller. */
export type AttemptFailure =
  /** Not executed. */
  | 'unreachable'
  | 'refused'
  | 'wrongEndpoint'
  /** Possibly executed. */
  | 'broken'
  | 'crossed'
  | 'notGenuine'
  | 'serverError'
  | 'silent';

/** The inputs of the decision. */
export interface RetryContext {
  readonly failure: AttemptFailure;
  readonly repeatability: Repeatability;
  /** The most endpoints that may execute the call. */
  readonly maxRuns: number;
  /** How many endpoints may have executed the call. */
  readonly runCount: number;
  /** How many endpoints were tried, including those that did not execute the call. */
  readonly attemptCount: number;
  /** Whether events of a stream were sent to the caller. */
  readonly hasSentEvents: boolean;
  /** Whether the id of the last event is known, so that another endpoint can continue the stream. */
  readonly canResume: boolean;
  readonly timeLeftMs: number;
}

const ATTEMPTS_MAX = 4;
/** With less time than this, an attempt is unlikely to succeed and only adds load. */
const TIME_LEFT_MIN_MS = 30;

/**
 * Returns whether an endpoint's work on a call may be aborted when no caller waits for the response. A non-repeatable
 * call that is not streamed continues: it counts as executed either way, so an abort has no benefit.
 */
export function isAbortable({ isStream, repeatability }: Route): boolean {
  return isStream || repeatability !== 'once';
}

/** Returns whether a failure proves that the call was not executed. */
export function isNotRunFailure(failure: AttemptFailure): boolean {
  return failure === 'unreachable' || failure === 'refused' || failure === 'wrongEndpoint';
}

/** Returns whether another endpoint may be tried. The retry budget is checked separately. */
export function isRetryAllowed(context: RetryContext): boolean {
  const { failure, repeatability, maxRuns, runCount, attemptCount, hasSentEvents, canResume } =
    context;
  if (attemptCount >= ATTEMPTS_MAX || context.timeLeftMs < TIME_LEFT_MIN_MS) {
    return false;
  }
  if (isNotRunFailure(failure)) {
    return !hasSentEvents || canResume;
  }
  if (repeatability === 'once' || runCount >= maxRuns) {
    return false;
  }
  return !hasSentEvents || (repeatability === 'resumable' && canResume);
}
