/** Decides how many tokens of a budget its home lends ahead to each vm, in proportion to the vms' calls. */

/** What the home knows of one vm's demand. */
export interface AdvanceDemand {
  /** Tokens per second that the vm's calls need. */
  readonly ratePerSecond: number;
  /** Tokens per second that the vm's calls of all budgets need. */
  readonly vmRatePerSecond: number;
}

/** The inputs of the decision. Amounts are in tokens. */
export interface AdvanceInputs {
  /** The home's unused claim, activated or not. */
  readonly totalFree: number;
  /** What is idle at other vms. */
  readonly advanced: number;
  /** The demand of the home's own calls and of those that other vms hold here one by one. */
  readonly ownRatePerSecond: number;
  readonly demands: readonly AdvanceDemand[];
}

/** The most that is lent ahead, as a share of the unused claim; the rest serves the calls that no advance covers. */
const ADVANCED_SHARE_MAX = 0.8;
/** How much demand an advance covers: partitions from the store last up to 9 s. */
const ADVANCE_HORIZON_MS = 8_500;

/**
 * The weight of a vm's share of all calls, beside its calls of the budget, in the rate to expect. A vm has few calls of one
 * budget within seconds, so its next one is often of a budget without earlier ones.
 */
const PRIOR_WEIGHT = 0.5;

/**
 * Returns how many idle tokens each vm should have.
 *
 * @example
 * // Too little for all: both get a part of 800 by their rates.
 * getAdvanceLimits({ totalFree: 1_000, advanced: 0, ownRatePerSecond: 0,
 *   demands: [{ ratePerSecond: 300, vmRatePerSecond: 300 },
 *     { ratePerSecond: 100, vmRatePerSecond: 100 }] }); // [600, 200]
 */
export function getAdvanceLimits(inputs: AdvanceInputs): number[] {
  const { totalFree, advanced, ownRatePerSecond, demands } = inputs;
  const capacity = Math.max(0, totalFree + advanced) * ADVANCED_SHARE_MAX;
  const rateSum = demands.reduce(
    (sum, { ratePerSecond }) => sum + ratePerSecond,
    Math.max(0, ownRatePerSecond),
  );
  const horizonS = rateSum > 0 ? Math.min(ADVANCE_HORIZON_MS / 1_000, capacity / rateSum) : 0;
  return getExpectedRates(demands).map((rate) => Math.floor(rate * horizonS));
}

/** Returns the rates to expect, whose sum is that of the observed ones. */
function getExpectedRates(demands: readonly AdvanceDemand[]): number[] {
  const rateSum = demands.reduce((sum, { ratePerSecond }) => sum + ratePerSecond, 0);
  const vmRateSum = demands.reduce((sum, { vmRatePerSecond }) => sum + vmRatePerSecond, 0);
  return demands.map(({ ratePerSecond, vmRatePerSecond }) => {
    const prior = vmRateSum > 0 ? (rateSum * vmRatePerSecond) / vmRateSum : ratePerSecond;
    return PRIOR_WEIGHT * prior + (1 - PRIOR_WEIGHT) * ratePerSecond;
  });
}
