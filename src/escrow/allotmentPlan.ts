/**
 * Decides how much of a budget one holder claims or gives back. It answers two load patterns: one workspace
 * that sends many times its usual through a few vms, whose allotments must follow it, and a balance near its end,
 * where what idle vms hold must come back to the vm that has a request for it.
 */

/** What the decision depends on. Amounts are in tokens. */
export interface AllotmentInputs {
  /** The prepaid total. */
  readonly total: number;
  /** What all holders have spent or may spend. */
  readonly claimed: number;
  /** What nobody has spent and nobody has lost. */
  readonly remaining: number;
  /** What this holder may spend of what it claimed. */
  readonly free: number;
  /** The part of it that is opened. */
  readonly freeActivated: number;
  /** Whether this holder keeps tokens for calls to come, its own and those of other vms. */
  readonly isHome: boolean;
  /** Whether there are witnesses, without which all that is claimed is opened. */
  readonly hasWitnesses: boolean;
  /** What this holder will spend within the time that claims cover now if it goes on as it did. */
  readonly expectedSpending: number;
  /** The part of the horizon that claims cover now, in (0, 1]. */
  readonly coverage: number;
  /** What it will spend until some records later. */
  readonly imminentSpending: number;
  /** The mean of its recent requests. */
  readonly meanHold: number;
  /** The part of all spending that is this holder's, in [0, 1]. */
  readonly spendingShare: number;
  /** What its waiting requests need together. */
  readonly needed: number;
  /** What other holders lack. */
  readonly othersShortfall: number;
}

/** What to do about it. */
export interface AllotmentPlan {
  /** Above 0 to claim, below 0 to give back. */
  readonly claimed: number;
  /** Above 0 to open, below 0 to close. */
  readonly activated: number;
  /** What is lacking and can't be claimed. */
  readonly shortfall: number;
}

/** All allotments together keep to these parts of what is not spent: a partition from the store may come at any
 * time, and what the holders have in hand when all die at once does not come back. */
const REMAINING_SHARE_MIN = 0.2;
const REMAINING_SHARE_MAX = 0.5;
/** Claims when free tokens fall below this part of the target: a partition finds nearly all of it in hand. */
const CLAIM_THRESHOLD_SHARE = 0.9;
/** Opens more when opened tokens fall below this part of what is desired. */
const ACTIVATION_THRESHOLD_SHARE = 0.7;
/** The part of what is not spent that is opened at rest, so that the first calls of a flood need no append each. */
const IDLE_ACTIVATED_SHARE = 0.02;
/** Gives back when free tokens pass this multiple of the target. */
const EXCESS_FACTOR = 1.5;

/** Returns the free tokens that a holder aims at. */
export function getAllotmentTarget(inputs: AllotmentInputs): number {
  const { expectedSpending, spendingShare, coverage, isHome } = inputs;
  if (!isHome) {
    return 0;
  }
  const remaining = Math.max(0, inputs.remaining) * spendingShare;
  return Math.ceil(
    Math.min(
      Math.max(expectedSpending, remaining * REMAINING_SHARE_MIN * coverage),
      remaining * REMAINING_SHARE_MAX,
    ),
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
export function planAllotment(inputs: AllotmentInputs): AllotmentPlan {
  const { claimed, shortfall } = planClaim(inputs);
  return { claimed, shortfall, activated: planActivation(inputs, inputs.free + claimed) };
}

function planClaim(inputs: AllotmentInputs): { claimed: number; shortfall: number } {
  const { total, claimed, free, needed } = inputs;
  const unclaimed = Math.max(0, total - claimed);
  const target = getAllotmentTarget(inputs);
  if (claimed > total) {
    // The total was lowered: what is free goes back first.
    return { claimed: -Math.floor(Math.min(free, claimed - total)), shortfall: 0 };
  }
  const deficit = Math.max(0, needed - free);
  if (deficit > unclaimed) {
    // What is left serves at least some of those that wait.
    return { claimed: Math.floor(unclaimed), shortfall: Math.ceil(deficit - unclaimed) };
  }
  const isLow = free < target * CLAIM_THRESHOLD_SHARE && inputs.othersShortfall === 0;
  if (deficit > 0 || isLow) {
    const desired = isLow ? Math.max(deficit, needed + target - free) : deficit;
    return { claimed: Math.floor(Math.min(desired, unclaimed)), shortfall: 0 };
  }
  return { claimed: -getSurplus(inputs, target, unclaimed), shortfall: 0 };
}

/** Others' lack goes before this holder's reserve; without it only what is far above the target goes back. */
function getSurplus(inputs: AllotmentInputs, target: number, unclaimed: number): number {
  const { free, othersShortfall, meanHold, needed } = inputs;
  if (needed > 0) {
    return 0;
  }
  if (othersShortfall > unclaimed) {
    const spare = Math.max(0, free - meanHold);
    return Math.floor(Math.min(spare, othersShortfall - unclaimed));
  }
  return free > target * EXCESS_FACTOR ? Math.floor(free - target) : 0;
}

/**
 * What is opened is lost when the process dies, so it follows the spending of the next moments. A request that comes
 * seldom waits for one append: two requests' room on each vm was an eighth of a total when all died at once.
 */
function planActivation(inputs: AllotmentInputs, free: number): number {
  const { freeActivated, imminentSpending, needed, hasWitnesses, remaining, spendingShare } =
    inputs;
  const soon = Math.max(
    imminentSpending,
    Math.max(0, remaining) * spendingShare * IDLE_ACTIVATED_SHARE,
  );
  const desired = hasWitnesses ? Math.min(free, Math.ceil(needed + soon)) : free;
  const isTooLow = freeActivated < needed || freeActivated < desired * ACTIVATION_THRESHOLD_SHARE;
  const isTooHigh = freeActivated > desired * EXCESS_FACTOR || freeActivated > free;
  return isTooLow || isTooHigh ? Math.floor(desired - freeActivated) : 0;
}
