/**
 * Chooses the few vms, the homes, that hold the claims on the budgets of one topic. With every vm as a claimant
 * appends collide more often than they succeed, and a vm's part of a balance is smaller than one request.
 * The choice decides only who claims: what the store accepts is judged there, whoever claims.
 */
import type { Logger } from '../core/logging.js';
import type { TimerService } from '../core/timers.js';
import { getRendezvousOrder } from '../core/utilities.js';
import type { VmId } from '../types/ids.js';
import type { Ledger } from './ledger.js';

/** Options of a list. */
export interface HomeListOptions {
  readonly ledger: Ledger;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly vm: VmId;
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
const DOWN_MIN_MS = 1_000;
const DOWN_MAX_MS = 16_000; // a vm that is gone for good is asked seldom, one that is back claims soon

/** How long a vm that did not answer is passed over. */
interface Silence {
  readonly until: number;
  readonly forMs: number;
}

/** The homes of one topic as one process sees them. */
export class HomeList {
  /** All holders, those first that are homes. */
  private order: readonly VmId[] = [];

  private orderedGeneration = -1;

  private readonly silences = new Map<VmId, Silence>();

  constructor(private readonly options: HomeListOptions) {}

  /** Returns whether this process claims for itself and others. */
  isHome(): boolean {
    return this.getHomes().includes(this.options.vm);
  }

  /** Returns how many homes there are, at least 1. */
  getCount(): number {
    return Math.max(1, this.getHomes().length);
  }

  /** Returns the homes other than this vm in an order of its own, so that the homes share the vms. */
  getHomesToAsk(): VmId[] {
    const { vm, ledger, getSeeds = () => [] } = this.options;
    const homes = ledger.holders.size > 0 ? this.getHomes() : getSeeds();
    const others = homes.filter((home) => home !== vm && !this.isSilent(home));
    return getRendezvousOrder(vm, others) as VmId[];
  }

  /** Notes a vm that did not answer in time. */
  recordSilence(home: VmId): void {
    const { timers, logger } = this.options;
    const now = timers.now();
    const known = this.silences.get(home);
    if (known && known.until > now) {
      return;
    }
    const forMs = Math.min(DOWN_MAX_MS, known ? known.forMs * 2 : DOWN_MIN_MS);
    this.silences.set(home, { until: now + forMs, forMs });
    logger.warn('budget home out of reach', { home, forMs, isHome: this.isHome() });
  }

  /** Notes an answer of a vm. */
  recordAnswer(home: VmId): void {
    if (this.silences.delete(home)) {
      this.options.logger.info('budget home in reach', { home });
    }
  }

  /** Returns the first vms in rendezvous order that are not known to be silent. */
  private getHomes(): VmId[] {
    const homes: VmId[] = [];
    const order = this.getOrder();
    const ownMax = order.length <= SMALL_FLEET_MAX ? SMALL_FLEET_MAX : HOMES_MAX;
    const { homesMax = ownMax } = this.options;
    for (let index = 0; index < order.length && homes.length < homesMax; index += 1) {
      if (!this.isSilent(order[index]!)) {
        homes.push(order[index]!);
      }
    }
    return homes;
  }

  private getOrder(): readonly VmId[] {
    const { ledger, vm, part } = this.options;
    if (this.orderedGeneration !== ledger.generation) {
      this.orderedGeneration = ledger.generation;
      const holders = new Set([...ledger.holders.keys(), vm]);
      this.order = getRendezvousOrder(`accounts-${part}`, [...holders]) as VmId[];
    }
    return this.order;
  }

  private isSilent(home: VmId): boolean {
    const silence = this.silences.get(home);
    return silence !== undefined && silence.until > this.options.timers.now();
  }
}
