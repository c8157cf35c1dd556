/**
 * The gateways that may share a rate, as this gateway counts them. Parts of a rate add up to at most the whole if every
 * gateway counts all that have one. So a gateway has no part until the others have read that it exists, and stays counted
 * for a while after it has vanished.
 */
import type { TimerService, Unsubscribe } from '../../core/timers.js';
import type { VmId } from '../../types/ids.js';

/** Options of the view. */
export interface FleetViewOptions {
  readonly timers: TimerService;
  /** Returns all gateways that are listed now. */
  readonly getListed: () => Iterable<VmId>;
  /** Time within which all others have read a change of the list, in milliseconds. Default 6,500. */
  readonly settlingMs?: number;
}

interface Member {
  readonly since: number;
  listedAt: number;
}

/** A gateway without claims reads the list every 5 s, and the read itself and the poll below take time. */
const SETTLING_MS = 6_500;
const POLL_INTERVAL_MS = 500;

/** Polls the list while it is open. */
export class FleetView {
  private readonly members = new Map<VmId, Member>();

  private readonly settlingMs: number;

  private unsubscribe: Unsubscribe | undefined;

  private generation = 0;

  private polledAt = 0;

  private listed: readonly VmId[] = [];

  constructor(private readonly options: FleetViewOptions) {
    this.settlingMs = options.settlingMs ?? SETTLING_MS;
  }

  /** Starts polling, unless it has started. */
  open(): void {
    if (!this.unsubscribe) {
      this.poll();
      this.unsubscribe = this.options.timers.subscribeEvery(POLL_INTERVAL_MS, () => this.poll());
    }
  }

  close(): void {
    this.unsubscribe?.();
    this.unsubscribe = undefined;
  }

  /** Returns a number that changes with the members. */
  getGeneration(): number {
    return this.generation;
  }

  /** Returns the members in no particular order. */
  getMembers(): readonly VmId[] {
    return this.listed;
  }

  /** Returns whether the gateway is listed and all others count it. */
  isSettled(vm: VmId): boolean {
    const member = this.members.get(vm);
    return (
      member !== undefined &&
      member.listedAt === this.polledAt &&
      member.listedAt - member.since >= this.settlingMs
    );
  }

  private poll(): void {
    const now = this.options.timers.now();
    let hasChanged = false;
    this.polledAt = now;
    [...this.options.getListed()].forEach((vm) => {
      const member = this.members.get(vm);
      if (member) {
        member.listedAt = now;
      } else {
        this.members.set(vm, { since: now, listedAt: now });
        hasChanged = true;
      }
    });
    this.members.forEach(({ listedAt }, vm) => {
      if (now - listedAt > this.settlingMs) {
        this.members.delete(vm);
        hasChanged = true;
      }
    });
    if (hasChanged) {
      this.generation += 1;
      this.listed = [...this.members.keys()];
    }
  }
}
