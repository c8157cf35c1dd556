/**
 * Decides how much of a budget one holder claims or gives back. It answers two load patterns: one workspace
 * that sends many times its usual through a few vms, whose allotments must follow it, and a balance near its end,
 * where what idle vms hold must come back to the vm that has a request for it.
 */

/** What the decision depends on. Amounts are in tokens. */
export interface AllotmentSituation {
  /** The prepaid total. */
  readonly total: number;
  /** What all holders have spent or may spend. */
  readonly claimed: number;
  /** What this holder may spend now. */
  readonly free: number;
  /** What its recent spending calls for. */
  readonly target: number;
  /** What its waiting requests need together. */
  readonly needed: number;
  /** What other holders lack. */
  readonly wantedByOthers: number;
  readonly holders: number;
  /** The largest recent request of this holder. */
  readonly largestHold: number;
}

/** What to do about it. */
export interface AllotmentPlan {
  /** Above 0 to claim, below 0 to give back. */
  readonly change: number;
  /** What is lacking and can't be claimed. */
  readonly wanted: number;
}

/** Each holder keeps this part of the total, over all holders, before it has spent anything: a partition may come first. */
const STARTING_SHARE = 0.4;
/** A claim above its need takes at most this part of what is left, so that claims shrink with the balance. */
const CLAIM_SHARE_DIVISOR = 3;
/** Claims when free tokens fall below this part of the target. */
const LOW_SHARE = 0.6;
/** Gives back when free tokens pass this multiple of the target. */
const HIGH_SHARE = 2.5;

/** Returns the free tokens that a holder aims at. */
export function getAllotmentTarget(situation: AllotmentSituation): number {
  const { total, claimed, holders, target } = situation;
  const left = Math.max(0, total - claimed);
  const start = Math.min((total * STARTING_SHARE) / holders, (left * STARTING_SHARE) / holders);
  return Math.ceil(Math.max(target, start));
}

/**
 * Plans the change of one allotment.
 *
 * @example
 * // A waiting request is served though little is left: the need goes before the share.
 * planAllotment({ total: 1_000, claimed: 900, free: 0, target: 500, needed: 80, wantedByOthers: 0,
 *   holders: 6, largestHold: 80 }).change; // 80
 */
export function planAllotment(situation: AllotmentSituation): AllotmentPlan {
  const { total, claimed, free, needed } = situation;
  const available = Math.max(0, total - claimed);
  const target = getAllotmentTarget(situation);
  if (claimed > total) {
    // The total was lowered: what is free goes back first.
    return { change: -Math.floor(Math.min(free, claimed - total)), wanted: 0 };
  }
  const lacking = Math.max(0, needed - free);
  if (lacking > 0 || free < target * LOW_SHARE) {
    return planClaim(available, lacking, Math.max(lacking, target - free));
  }
  return { change: -getSurplus(situation, target, available), wanted: 0 };
}

function planClaim(available: number, lacking: number, desired: number): AllotmentPlan {
  if (lacking > available) {
    return { change: 0, wanted: lacking };
  }
  const share = Math.floor(available / CLAIM_SHARE_DIVISOR);
  return { change: Math.floor(Math.max(lacking, Math.min(desired, share))), wanted: 0 };
}

/** Others' lack goes before this holder's reserve; without it only what is far above the target goes back. */
function getSurplus(situation: AllotmentSituation, target: number, available: number): number {
  const { free, wantedByOthers, largestHold } = situation;
  if (wantedByOthers > available) {
    const spare = Math.max(0, free - largestHold);
    return Math.floor(Math.min(spare, wantedByOthers - available));
  }
  return free > target * HIGH_SHARE ? Math.floor(free - target) : 0;
}
