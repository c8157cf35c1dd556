/**
 * Chooses the few vms, the homes, that hold the claims on the budgets of one topic, and among them one for each budget.
 * With every vm as a claimant appends collide more often than they succeed, and a vm's part of a balance is smaller
 * than one request.
 * The choice decides only who claims: what the store accepts is judged there, whoever claims.
 */
import type { Logger } from '../core/logging.js';
import type { TimerService } from '../core/timers.js';
import { getRendezvousOrder } from '../core/utilities.js';
import type { BudgetId, VmId } from '../types/ids.js';
import type { Ledger } from './ledger.js';

/** Options of a list. */
export interface HomeListOptions {
  readonly ledger: Ledger;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly vm: VmId;
  /** Processor cores of this vm. Default 0, for unknown. */
  readonly cores?: number;
  /** The part of the accounts. */
  readonly part: number;
  /** Default 6, or all of a fleet of at most 9. */
  readonly homesMax?: number;
  /** Returns whom to ask while no holder is known. Default none. */
  readonly getSeeds?: () => readonly VmId[];
}

/** In a fleet of so many vms each is a home, so that one that is cut off from all others still serves what it claimed. */
const SMALL_FLEET_MAX = 9;
const HOMES_MAX = 6; // more of them collide too often in a flood; fewer lack processor time for the others' holds
const EXCLUSION_MIN_MS = 1_000;
const EXCLUSION_MAX_MS = 16_000; // a vm that is gone for good is asked seldom, one that is back claims soon

/** How long a vm that did not answer is passed over. */
interface HomeExclusion {
  readonly until: number;
  readonly durationMs: number;
}

/** The homes of one topic as one process sees them. */
export class HomeList {
  /** All holders, those first that are homes. */
  private rankedVms: readonly VmId[] = [];

  private rankedGeneration = -1;

  private readonly exclusions = new Map<VmId, HomeExclusion>();

  constructor(private readonly options: HomeListOptions) {}

  /** Returns whether this process claims for itself and others. */
  isHome(): boolean {
    return this.getHomes().includes(this.options.vm);
  }

  /** Returns whether this process claims tokens of a budget ahead of the calls that need them. */
  isHomeOf(budget: BudgetId): boolean {
    const homes = this.getHomes();
    return (
      homes.includes(this.options.vm) &&
      (this.isSmallFleet() || this.getPrimaryHome(budget, homes) === this.options.vm)
    );
  }

  /** Returns how many vms claim a budget ahead of its calls, at least 1. */
  getClaimantCount(): number {
    return this.isSmallFleet() ? this.getHomeCount() : 1;
  }

  /** Returns how many homes there are, at least 1. */
  getHomeCount(): number {
    return Math.max(1, this.getHomes().length);
  }

  /**
   * Returns the homes other than this vm in the order in which to ask them for a budget. All vms ask the same home
   * first: what it holds is in one piece, and no other home claims for the budget meanwhile.
   */
  getHomesToAsk(budget: BudgetId): VmId[] {
    const { vm, ledger, getSeeds = () => [] } = this.options;
    const homes = ledger.holders.size > 0 ? this.getHomes() : getSeeds();
    const others = homes.filter((home) => home !== vm && !this.isExcluded(home));
    return getRendezvousOrder(budget, others) as VmId[];
  }

  /** Notes a vm that did not answer in time. */
  recordTimeout(home: VmId): void {
    const { timers, logger } = this.options;
    const now = timers.now();
    const previous = this.exclusions.get(home);
    if (previous && previous.until > now) {
      return;
    }
    const durationMs = Math.min(
      EXCLUSION_MAX_MS,
      previous ? previous.durationMs * 2 : EXCLUSION_MIN_MS,
    );
    this.exclusions.set(home, { until: now + durationMs, durationMs });
    logger.warn('budget home out of reach', { home, forMs: durationMs, isHome: this.isHome() });
  }

  /** Notes an answer of a vm. */
  recordResponse(home: VmId): void {
    if (this.exclusions.delete(home)) {
      this.options.logger.info('budget home in reach', { home });
    }
  }

  /** Returns the first vms in rendezvous order that are not known to be silent. */
  private getHomes(): VmId[] {
    const homes: VmId[] = [];
    const order = this.getRankedVms();
    const ownMax = this.isSmallFleet() ? SMALL_FLEET_MAX : HOMES_MAX;
    const { homesMax = ownMax } = this.options;
    for (let index = 0; index < order.length && homes.length < homesMax; index += 1) {
      if (!this.isExcluded(order[index]!)) {
        homes.push(order[index]!);
      }
    }
    return homes;
  }

  /** Larger vms go first: six homes judge the calls of a whole fleet, and a small one would have no time for its own. */
  private getRankedVms(): readonly VmId[] {
    const { ledger, vm, part, cores = 0 } = this.options;
    if (this.rankedGeneration !== ledger.generation) {
      this.rankedGeneration = ledger.generation;
      const coresByVm = new Map(
        [...ledger.holders].map(([holder, record]) => [holder, record.cores]),
      );
      coresByVm.set(vm, cores);
      const order = getRendezvousOrder(`accounts-${part}`, [...coresByVm.keys()]) as VmId[];
      this.rankedVms = order.sort((a, b) => coresByVm.get(b)! - coresByVm.get(a)!);
    }
    return this.rankedVms;
  }

  private isSmallFleet(): boolean {
    return this.getRankedVms().length <= SMALL_FLEET_MAX;
  }

  private getPrimaryHome(budget: BudgetId, homes: readonly VmId[]): VmId | undefined {
    return getRendezvousOrder(budget, homes)[0] as VmId | undefined;
  }

  private isExcluded(home: VmId): boolean {
    const exclusion = this.exclusions.get(home);
    return exclusion !== undefined && exclusion.until > this.options.timers.now();
  }
}
