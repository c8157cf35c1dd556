/**
 * Decides whether a call is sent at all. When the endpoints of a service are busy, each further call delays those behind
 * it, so calls are refused before their wait would make them worthless: first the less urgent ones and those of
 * workspaces that send more than usual. The wait excludes the call's own prefill, so that large calls are refused no sooner
 * than small ones.
 */

/** Why a call is refused. */
export type AdmissionReason = 'memoryFull' | 'queuesFull' | 'deadline' | 'order';

/** What the decision depends on. Times are in milliseconds. */
export interface AdmissionInputs {
  /** Whether any endpoint has memory for the call. */
  readonly hasMemory: boolean;
  /** Whether any endpoint has a free slot or a place in its queue. */
  readonly hasPlace: boolean;
  /** Expected time until the first event at the best endpoint. */
  readonly firstEventMs: number;
  /** The shortest expected wait before the call's own prefill. At the best endpoint it is longer if that has cached parts. */
  readonly waitMs: number;
  readonly timeLeftMs: number;
  /** Time since the caller first sent the call, at least as far as its remaining time shows. */
  readonly waitedMs: number;
  /** Time within which the first event has its full value; 0 if there is no target. */
  readonly targetMs: number;
  /** 0 is most urgent. */
  readonly rank: number;
  /** The present load of the call's workspace relative to its usual one; 1 if unknown. */
  readonly usageRatio: number;
}

/** The decision. */
export type Admission =
  | { readonly kind: 'admitted' }
  | {
      readonly kind: 'refused';
      readonly reason: AdmissionReason;
      readonly retryAfterMs: number;
    };

/**
 * The part of its target that a call of a rank may wait; less urgent ranks wait no longer than the last. In a replay at 1.7
 * times the usual load, 3, 2 and 1.2 left four times as many calls of rank 0 without an answer.
 */
const PATIENCE_BY_RANK = [0.6, 0.3, 0.1] as const;
/** The estimate overstates prefill times by about a half in replays, so a call is refused only if it is clearly too late. */
const DEADLINE_MARGIN = 0.7;
/** Workspaces send 2 to 7 times their usual load in bursts; fluctuations stay below this ratio. */
const USUAL_RATIO_MAX = 1.5;
const OVER_SHARE_PATIENCE = 0.5;
/** A call that has waited for this part of its remaining time has probably been refused before. */
const RETURNED_PART = 0.15;
const RETURNED_PATIENCE = 2;
/** Callers come back no sooner than after the time that they were told, and no later than after a third of their time. */
const RETRY_AFTER_MIN_MS = 40;
const RETRY_AFTER_MAX_MS = 2_000;
const HONOURED_PART = 1 / 3;
const UNKNOWN_WAIT_MS = 400;
/** An endpoint queues this many calls for each slot. */
const QUEUE_PER_SLOT = 3;
const ADMITTED: Admission = { kind: 'admitted' };

/**
 * Decides about one call.
 *
 * @example
 * decideAdmission(inputs, Math.random); // { kind: 'refused', reason: 'queuesFull', retryAfterMs: 210 }
 */
export function decideAdmission(inputs: AdmissionInputs, random: () => number): Admission {
  const { hasMemory, hasPlace, firstEventMs, waitMs, timeLeftMs, targetMs } = inputs;
  if (!hasMemory) {
    return refuse('memoryFull', UNKNOWN_WAIT_MS, inputs, random);
  }
  const patienceMs = getPatienceMs(inputs);
  if (!hasPlace) {
    return refuse('queuesFull', waitMs - patienceMs, inputs, random);
  }
  if (firstEventMs * DEADLINE_MARGIN > timeLeftMs) {
    return refuse('deadline', firstEventMs - timeLeftMs, inputs, random);
  }
  return targetMs > 0 && waitMs > patienceMs
    ? refuse('order', waitMs - patienceMs, inputs, random)
    : ADMITTED;
}

/** Returns how long a call may wait before it is refused in favour of others. */
function getPatienceMs({
  rank,
  usageRatio,
  waitedMs,
  timeLeftMs,
  targetMs,
}: AdmissionInputs): number {
  const patience =
    PATIENCE_BY_RANK[Math.max(0, Math.min(rank, PATIENCE_BY_RANK.length - 1))] ??
    PATIENCE_BY_RANK[0];
  const isReturned = waitedMs > timeLeftMs * RETURNED_PART;
  return (
    targetMs *
    patience *
    (usageRatio > USUAL_RATIO_MAX ? OVER_SHARE_PATIENCE : 1) *
    (isReturned ? RETURNED_PATIENCE : 1)
  );
}

/** The time is that until the wait is short enough, spread so that the callers do not return together. */
function refuse(
  reason: AdmissionReason,
  untilMs: number,
  { timeLeftMs }: AdmissionInputs,
  random: () => number,
): Admission {
  const spreadMs = Math.max(RETRY_AFTER_MIN_MS, untilMs) * (0.5 + random());
  const honouredMs = Math.max(RETRY_AFTER_MIN_MS, timeLeftMs * HONOURED_PART);
  return {
    kind: 'refused',
    reason,
    retryAfterMs: Math.round(Math.min(spreadMs, honouredMs, RETRY_AFTER_MAX_MS)),
  };
}

/**
 * Returns whether any endpoint has a free slot or a place in its queue.
 *
 * @example
 * isPlaceLeft([{ calls: 64, slots: 16 }]); // false
 */
export function isPlaceLeft(
  endpoints: readonly { readonly calls: number; readonly slots: number }[],
): boolean {
  return endpoints.some(({ calls, slots }) => calls < slots * (1 + QUEUE_PER_SLOT));
}
