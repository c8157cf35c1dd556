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
  /** What nobody has spent and nobody has lost. */
  readonly left: number;
  /** What this holder may spend of what it claimed. */
  readonly free: number;
  /** The part of it that is opened. */
  readonly freeOpened: number;
  /** Whether this holder keeps tokens for calls to come, its own and those of other vms. */
  readonly isHome: boolean;
  /** Whether there are witnesses, without which all that is claimed is opened. */
  readonly hasWitnesses: boolean;
  /** What this holder will spend within the time that claims cover now if it goes on as it did. */
  readonly expected: number;
  /** The part of the horizon that claims cover now, in (0, 1]. */
  readonly coverage: number;
  /** What it will spend until some records later. */
  readonly expectedSoon: number;
  /** The mean of its recent requests. */
  readonly meanHold: number;
  /** The part of all spending that is this holder's, in [0, 1]. */
  readonly share: number;
  /** What its waiting requests need together. */
  readonly needed: number;
  /** What other holders lack. */
  readonly wantedByOthers: number;
}

/** What to do about it. */
export interface AllotmentPlan {
  /** Above 0 to claim, below 0 to give back. */
  readonly claimed: number;
  /** Above 0 to open, below 0 to close. */
  readonly opened: number;
  /** What is lacking and can't be claimed. */
  readonly wanted: number;
}

/** All allotments together keep to these parts of what is not spent: a partition from the store may come at any
 * time, and what the holders have in hand when all die at once does not come back. */
const LEFT_SHARE_MIN = 0.2;
const LEFT_SHARE_MAX = 0.5;
/** Claims when free tokens fall below this part of the target: a partition finds nearly all of it in hand. */
const CLAIM_LOW_SHARE = 0.9;
/** Opens more when opened tokens fall below this part of what is desired. */
const OPEN_LOW_SHARE = 0.7;
/** The part of what is not spent that is opened at rest, so that the first calls of a flood need no append each. */
const REST_SHARE = 0.02;
/** Gives back when free tokens pass this multiple of the target. */
const HIGH_SHARE = 1.5;

/** Returns the free tokens that a holder aims at. */
export function getAllotmentTarget(situation: AllotmentSituation): number {
  const { expected, share, coverage, isHome } = situation;
  if (!isHome) {
    return 0;
  }
  const left = Math.max(0, situation.left) * share;
  return Math.ceil(
    Math.min(Math.max(expected, left * LEFT_SHARE_MIN * coverage), left * LEFT_SHARE_MAX),
  );
}

/**
 * Plans the change of one allotment.
 *
 * @example
 * // A waiting request is served though little is left: the need goes before the share.
 * planAllotment({ total: 1_000, claimed: 900, left: 300, free: 0, freeOpened: 0, isHome: true, hasWitnesses: true,
 *   expected: 500, coverage: 1, expectedSoon: 100, meanHold: 50, share: 0.2, needed: 80, wantedByOthers: 0 }).claimed; // 80
 */
export function planAllotment(situation: AllotmentSituation): AllotmentPlan {
  const { claimed, wanted } = planClaim(situation);
  return { claimed, wanted, opened: planOpening(situation, situation.free + claimed) };
}

function planClaim(situation: AllotmentSituation): { claimed: number; wanted: number } {
  const { total, claimed, free, needed } = situation;
  const available = Math.max(0, total - claimed);
  const target = getAllotmentTarget(situation);
  if (claimed > total) {
    // The total was lowered: what is free goes back first.
    return { claimed: -Math.floor(Math.min(free, claimed - total)), wanted: 0 };
  }
  const lacking = Math.max(0, needed - free);
  if (lacking > available) {
    // What is left serves at least some of those that wait.
    return { claimed: Math.floor(available), wanted: Math.ceil(lacking - available) };
  }
  const isLow = free < target * CLAIM_LOW_SHARE && situation.wantedByOthers === 0;
  if (lacking > 0 || isLow) {
    const desired = isLow ? Math.max(lacking, needed + target - free) : lacking;
    return { claimed: Math.floor(Math.min(desired, available)), wanted: 0 };
  }
  return { claimed: -getSurplus(situation, target, available), wanted: 0 };
}

/** Others' lack goes before this holder's reserve; without it only what is far above the target goes back. */
function getSurplus(situation: AllotmentSituation, target: number, available: number): number {
  const { free, wantedByOthers, meanHold, needed } = situation;
  if (needed > 0) {
    return 0;
  }
  if (wantedByOthers > available) {
    const spare = Math.max(0, free - meanHold);
    return Math.floor(Math.min(spare, wantedByOthers - available));
  }
  return free > target * HIGH_SHARE ? Math.floor(free - target) : 0;
}

/**
 * What is opened is lost when the process dies, so it follows the spending of the next moments. A request that comes
 * seldom waits for one append: two requests' room on each vm was an eighth of a total when all died at once.
 */
function planOpening(situation: AllotmentSituation, free: number): number {
  const { freeOpened, expectedSoon, needed, hasWitnesses, left, share } = situation;
  const soon = Math.max(expectedSoon, Math.max(0, left) * share * REST_SHARE);
  const desired = hasWitnesses ? Math.min(free, Math.ceil(needed + soon)) : free;
  const isTooLow = freeOpened < needed || freeOpened < desired * OPEN_LOW_SHARE;
  const isTooHigh = freeOpened > desired * HIGH_SHARE || freeOpened > free;
  return isTooLow || isTooHigh ? Math.floor(desired - freeOpened) : 0;
}
