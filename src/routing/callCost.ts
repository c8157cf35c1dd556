/**
 * Learns how much processor time calls cost from the totals of a process: each sample states how many calls of each kind
 * began and how much processor time was used. Normalized least mean squares keep one factor per kind of work.
 */

/** The kinds of work that use processor time. */
export type WorkKind = 'tokenCall' | 'plainCall' | 'refusal' | 'background';

/** Amounts of work in one sample: numbers of calls and refusals, and milliseconds for `background`. */
export type WorkCounts = Record<WorkKind, number>;

/**
 * Costs before the first sample, as measured under load, in milliseconds of one core for each unit. A process learns its
 * own within some tenths of a second.
 */
const INITIAL_COSTS: WorkCounts = {
  tokenCall: 5.7,
  plainCall: 4,
  refusal: 0.4,
  background: 0.01,
};
/** Range of the factors by which learned costs may differ from the initial ones. */
const FACTOR_RANGES: Record<WorkKind, { readonly min: number; readonly max: number }> = {
  tokenCall: { min: 0.1, max: 5 },
  plainCall: { min: 0.1, max: 5 },
  // A refusal does little that varies; a wider range would attribute the cost of calls to it.
  refusal: { min: 0.3, max: 2 },
  background: { min: 0.1, max: 10 },
};
const LEARNING_RATE = 0.3;

const kinds = Object.keys(INITIAL_COSTS) as WorkKind[];

/** The mean costs of the kinds of work of one process. */
export class CallCost {
  private readonly factors: WorkCounts = {
    tokenCall: 1,
    plainCall: 1,
    refusal: 1,
    background: 1,
  };

  /**
   * Adjusts the costs to a sample.
   *
   * @example
   * cost.record({ tokenCall: 5, plainCall: 0, refusal: 20, background: 100 }, 38);
   */
  record(counts: WorkCounts, processorMs: number): void {
    const inputs = kinds.map((kind) => counts[kind] * INITIAL_COSTS[kind]);
    const norm = inputs.reduce((sum, input) => sum + input * input, 0);
    const expectedMs = kinds.reduce((sum, kind) => sum + counts[kind] * this.get(kind), 0);
    const step = norm === 0 ? 0 : (LEARNING_RATE * (processorMs - expectedMs)) / norm;
    kinds.forEach((kind, index) => {
      const { min, max } = FACTOR_RANGES[kind];
      this.factors[kind] = Math.min(max, Math.max(min, this.factors[kind] + step * inputs[index]!));
    });
  }

  /** Returns the mean cost of one unit of work, in milliseconds of one core. */
  get(kind: WorkKind): number {
    return INITIAL_COSTS[kind] * this.factors[kind];
  }
}

/** Returns counts of no work. */
export function createWorkCounts(): WorkCounts {
  return { tokenCall: 0, plainCall: 0, refusal: 0, background: 0 };
}

/** Returns the sums of two counts. */
export function sumWorkCounts(first: WorkCounts, second: WorkCounts): WorkCounts {
  return Object.fromEntries(kinds.map((kind) => [kind, first[kind] + second[kind]])) as WorkCounts;
}
