/**
 * Decides how much of a budget one holder claims or returns. Two load patterns matter: a workspace that sends many times
 * its usual traffic through a few vms, whose allotments must follow it, and a nearly exhausted balance, where idle vms
 * must return tokens for the vm that has a request for them.
 */

/** The inputs of the decision. Amounts are in tokens. */
export interface AllotmentInputs {
  /** The prepaid total. */
  readonly total: number;
  /** What all holders together have spent or may still spend. */
  readonly claimed: number;
  /** The total less what holders have spent and lost. */
  readonly remaining: number;
  /** The part of this holder's claim that is not spent or held. */
  readonly free: number;
  /** The activated part of `free`. */
  readonly freeActivated: number;
  /** The idle part of this holder's claim that other vms hold as advances. Default 0. */
  readonly advanced?: number;
  /** What these advances lack. Default 0. */
  readonly advanceNeed?: number;
  /** Whether this holder claims tokens ahead of calls, its own and those of other vms. */
  readonly isHome: boolean;
  /** Whether there are witnesses; without any, the whole claim is activated. */
  readonly hasWitnesses: boolean;
  /** This holder's expected spending within the time that claims cover now. */
  readonly expectedSpending: number;
  /** The share of the horizon that claims cover now, in (0, 1]. */
  readonly coverage: number;
  /** This holder's expected spending until a few records later. */
  readonly imminentSpending: number;
  /** The mean of this holder's recent holds. */
  readonly meanHold: number;
  /** This holder's share of all spending, in [0, 1]. */
  readonly spendingShare: number;
  /** The sum that this holder's waiting requests need. */
  readonly needed: number;
  /** The sum of the other holders' shortfalls. */
  readonly othersShortfall: number;
}

/** The changes to make. */
export interface AllotmentPlan {
  /** Positive to claim tokens, negative to return them. */
  readonly claimed: number;
  /** Positive to activate tokens, negative to deactivate them. */
  readonly activated: number;
  /** What requests need beyond the unclaimed tokens. */
  readonly shortfall: number;
}

/**
 * The bounds of all targets together, as shares of the remaining tokens. The lower one is a reserve for a partition
 * from the store, which may come at any time; the upper one limits the loss when all holders die at once.
 */
const REMAINING_SHARE_MIN = 0.2;
const REMAINING_SHARE_MAX = 0.5;
/** Claims when free tokens fall below this share of the target, so that nearly all of it is there in a partition. */
const CLAIM_THRESHOLD_SHARE = 0.9;
/** Activates more tokens when the activated ones fall below this share of the desired amount. */
const ACTIVATION_THRESHOLD_SHARE = 0.7;
/** The share of the remaining tokens activated without load: a burst's first calls then need no append each. */
const IDLE_ACTIVATED_SHARE = 0.02;
/** Returns or deactivates tokens when there are more than this multiple of the target or the desired amount. */
const EXCESS_FACTOR = 1.5;

/** Returns a holder's target for free tokens. */
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
 * // A waiting request gets its tokens although few remain: requests take precedence over the target.
 * planAllotment({ total: 1_000, claimed: 900, remaining: 300, free: 0, freeActivated: 0, isHome: true,
 *   hasWitnesses: true, expectedSpending: 500, coverage: 1, imminentSpending: 100, meanHold: 50, spendingShare: 0.2,
 *   needed: 80, othersShortfall: 0 }).claimed; // 80
 */
export function planAllotment(inputs: AllotmentInputs): AllotmentPlan {
  const { claimed, shortfall } = planClaim(inputs);
  return { claimed, shortfall, activated: planActivation(inputs, inputs.free + claimed) };
}

function planClaim(inputs: AllotmentInputs): { claimed: number; shortfall: number } {
  const { total, claimed, free, needed, advanced = 0 } = inputs;
  const unclaimed = Math.max(0, total - claimed);
  const target = getAllotmentTarget(inputs);
  if (claimed > total) {
    // The total was lowered: return free tokens.
    return { claimed: -Math.floor(Math.min(free, claimed - total)), shortfall: 0 };
  }
  const deficit = Math.max(0, needed - free);
  if (deficit > unclaimed) {
    // The unclaimed tokens serve at least some of the waiting requests.
    // Others return no more than the total, so a larger shortfall changes nothing but the size of the sums over all holders.
    const shortfall = Math.min(Math.ceil(deficit - unclaimed), Math.ceil(Math.max(0, total)));
    return { claimed: Math.floor(unclaimed), shortfall };
  }
  // Advances are lost like free tokens when all processes die, so both together are limited by the target.
  const idle = free + advanced;
  const isLow = idle < target * CLAIM_THRESHOLD_SHARE && inputs.othersShortfall === 0;
  if (deficit > 0 || isLow) {
    const desired = isLow ? Math.max(deficit, needed + target - idle) : deficit;
    return { claimed: Math.floor(Math.min(desired, unclaimed)), shortfall: 0 };
  }
  return { claimed: -getSurplus(inputs, target, unclaimed), shortfall: 0 };
}

/** Returns how many free tokens to return. The others' shortfall takes precedence over this holder's target. */
function getSurplus(inputs: AllotmentInputs, target: number, unclaimed: number): number {
  const { free, othersShortfall, meanHold, needed, advanced = 0 } = inputs;
  if (needed > 0) {
    return 0;
  }
  if (othersShortfall > unclaimed) {
    const surplus = Math.max(0, free - meanHold);
    return Math.floor(Math.min(surplus, othersShortfall - unclaimed));
  }
  const idle = free + advanced;
  return idle > target * EXCESS_FACTOR ? Math.floor(Math.min(free, idle - target)) : 0;
}

/**
 * Returns how many tokens to activate or deactivate. Activated tokens are lost when the process dies, so they follow the
 * imminent spending. An infrequent request waits for one append: keeping two requests' worth activated on each vm lost an
 * eighth of a total when all vms died at once.
 */
function planActivation(inputs: AllotmentInputs, free: number): number {
  const { freeActivated, imminentSpending, needed, hasWitnesses, remaining, spendingShare } =
    inputs;
  const { advanceNeed = 0 } = inputs;
  const expectedUse = Math.max(
    imminentSpending,
    Math.max(0, remaining) * spendingShare * IDLE_ACTIVATED_SHARE,
  );
  const desired = hasWitnesses
    ? Math.min(free, Math.ceil(needed + expectedUse + advanceNeed))
    : free;
  const isTooLow = freeActivated < needed || freeActivated < desired * ACTIVATION_THRESHOLD_SHARE;
  const isTooHigh = freeActivated > desired * EXCESS_FACTOR || freeActivated > free;
  return isTooLow || isTooHigh ? Math.floor(desired - freeActivated) : 0;
}
