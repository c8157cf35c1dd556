/**
 * Chooses the homes: the few vms that claim the budgets of one topic, and among them one for each budget. If every vm
 * claimed, appends would conflict more often than succeed, and each vm's part of a balance would be smaller than one
 * request. Correctness does not depend on the choice: the store checks every claim.
 */
import type { Logger } from '../core/logging.js';
import type { TimerService } from '../core/timers.js';
import { getOrderBySize, getRendezvousOrder } from '../core/utilities.js';
import type { BudgetId, VmId } from '../types/ids.js';
import type { Ledger } from './ledger.js';

/** Options of a home list. */
export interface HomeListOptions {
  readonly ledger: Ledger;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly vm: VmId;
  /** Processor cores of this vm. Default 0, for unknown. */
  readonly cores?: number;
  /** The account topic's partition. */
  readonly part: number;
  /** The maximum number of homes. Default 6, or all vms of a fleet of at most 9. */
  readonly homesMax?: number;
  /** Returns the vms to ask while no holder is known. Default none. */
  readonly getSeeds?: () => readonly VmId[];
}

/** Up to this fleet size every vm is a home, so that one partitioned from all others still serves its claims. */
const SMALL_FLEET_MAX = 9;
const HOMES_MAX = 6; // more homes conflict too often under a burst; fewer lack processor time for the other vms' holds
const EXCLUSION_MIN_MS = 1_000;
const EXCLUSION_MAX_MS = 16_000; // a removed vm is rarely asked, and a recovered one claims again soon

/** A period in which a vm that did not respond is not asked. */
interface HomeExclusion {
  readonly until: number;
  readonly durationMs: number;
}

/** The homes of one topic from the view of one process. */
export class HomeList {
  /** All holders, in the order in which they become homes. */
  private rankedVms: readonly VmId[] = [];

  private rankedGeneration = -1;

  private readonly exclusions = new Map<VmId, HomeExclusion>();

  constructor(private readonly options: HomeListOptions) {}

  /** Returns whether this vm claims for itself and for other vms. */
  isHome(): boolean {
    return this.getHomes().includes(this.options.vm);
  }

  /** Returns whether this vm claims tokens of a budget ahead of the calls that need them. */
  isHomeOf(budget: BudgetId): boolean {
    const homes = this.getHomes();
    return (
      homes.includes(this.options.vm) &&
      (this.isSmallFleet() || this.getPrimaryHome(budget, homes) === this.options.vm)
    );
  }

  /** Returns how many vms claim tokens of a budget ahead of calls, at least 1. */
  getClaimantCount(): number {
    return this.isSmallFleet() ? this.getHomeCount() : 1;
  }

  /** Returns how many homes there are, at least 1. */
  getHomeCount(): number {
    return Math.max(1, this.getHomes().length);
  }

  /**
   * Returns the homes other than this vm in the order in which to ask them for a budget. All vms ask the same home
   * first, so that the budget's free tokens are not split and no other home claims for it at the same time.
   */
  getHomesToAsk(budget: BudgetId): VmId[] {
    const { vm, ledger, getSeeds = () => [] } = this.options;
    const homes = ledger.holders.size > 0 ? this.getHomes() : getSeeds();
    const others = homes.filter((home) => home !== vm && !this.isExcluded(home));
    return getRendezvousOrder(budget, others) as VmId[];
  }

  /** Returns the homes, this vm included, in the order in which all vms choose one of them for a key. */
  getOrder(key: string): VmId[] {
    return getRendezvousOrder(key, this.getHomes()) as VmId[];
  }

  /** Excludes a vm that did not respond in time; consecutive exclusions get longer. */
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
    logger.warn('home does not respond; excluding it', { home, durationMs, isHome: this.isHome() });
  }

  /** Ends the exclusion of a vm that responded. */
  recordResponse(home: VmId): void {
    if (this.exclusions.delete(home)) {
      this.options.logger.info('home responds again', { home });
    }
  }

  /** Returns the highest ranked vms that are not excluded. */
  private getHomes(): VmId[] {
    const homes: VmId[] = [];
    const order = this.getRankedVms();
    const defaultMax = this.isSmallFleet() ? SMALL_FLEET_MAX : HOMES_MAX;
    const { homesMax = defaultMax } = this.options;
    for (let index = 0; index < order.length && homes.length < homesMax; index += 1) {
      if (!this.isExcluded(order[index]!)) {
        homes.push(order[index]!);
      }
    }
    return homes;
  }

  /** Ranks larger vms first: as one of six homes of a whole fleet, a small vm would have no time for its own calls. */
  private getRankedVms(): readonly VmId[] {
    const { ledger, vm, part, cores = 0 } = this.options;
    if (this.rankedGeneration !== ledger.generation) {
      this.rankedGeneration = ledger.generation;
      const coresByVm = new Map(
        [...ledger.holders].map(([holder, record]) => [holder, record.cores]),
      );
      coresByVm.set(vm, cores);
      this.rankedVms = getOrderBySize(`accounts-${part}`, coresByVm);
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
