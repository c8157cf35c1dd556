/**
 * Decides whether a call goes to another endpoint. It answers endpoints that refuse, break and hang under load: a
 * second try must never run a call twice that may run once, nor multiply an overload.
 */
import type { Repeatability, Route } from '../../types/gateway.js';

/** How a try on one endpoint ended without an answer for the caller. */
export type AttemptFailure =
  /** It certainly did not run. */
  | 'unreachable'
  | 'refused'
  | 'wrongEndpoint'
  /** It may have run. */
  | 'broken'
  | 'crossed'
  | 'notGenuine'
  | 'serverError'
  | 'silent';

/** What the decision depends on. */
export interface RetryContext {
  readonly failure: AttemptFailure;
  readonly repeatability: Repeatability;
  /** How many endpoints may run the call, and how many may have. */
  readonly maxRuns: number;
  readonly runCount: number;
  /** How many endpoints were tried, runs included. */
  readonly attemptCount: number;
  /** Whether events of a stream went to the caller, and the last one can be named. */
  readonly hasSentEvents: boolean;
  readonly canResume: boolean;
  readonly timeLeftMs: number;
}

const ATTEMPTS_MAX = 4;
/** A try with less time than this is not worth its load. */
const TIME_LEFT_MIN_MS = 30;

/**
 * Returns whether an endpoint's work on a call may be broken off when nobody waits for it any more. A plain call that
 * may not be repeated goes on: it counts as run, and breaking it off helps nobody.
 */
export function isAbortable({ isStream, repeatability }: Route): boolean {
  return isStream || repeatability !== 'once';
}

/** Returns whether a failure proves that the call did not run. */
export function isNotRunFailure(failure: AttemptFailure): boolean {
  return failure === 'unreachable' || failure === 'refused' || failure === 'wrongEndpoint';
}

/** Returns whether another endpoint may be tried; the retry budget has the last word. */
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
