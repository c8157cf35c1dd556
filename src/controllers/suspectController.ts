/**
 * Finds requests that crash endpoints. Every body in flight on an endpoint that dies becomes suspect;
 * suspects run apart from each other from then on, so that the next death names the one at fault.
 */
import { LRUCache } from 'lru-cache';
import type { Suspect } from '../types/peers.js';

/** Default number of deaths after which a body is refused. */
export const POISON_CRASH_COUNT = 2;

const REMEMBERED_SUSPECTS_MAX = 1_000;
const GOSSIPED_SUSPECTS_MAX = 20;

/** Options of the controller. */
export interface SuspectControllerOptions {
  /** Deaths after which a body is refused. Default 2. */
  readonly poisonCrashCount?: number;
}

/** The suspects that this process knows, by body digest. */
export class SuspectController {
  private readonly crashCounts = new LRUCache<string, number>({ max: REMEMBERED_SUSPECTS_MAX });

  constructor(private readonly options: SuspectControllerOptions = {}) {}

  /** Called for each new death with the suspects that it made, to tell peers at once. */
  onCrash: (suspects: readonly Suspect[]) => void = () => {};

  /** Takes the death of an endpoint with the bodies that were in flight on it. */
  recordCrash(digests: Iterable<string>): void {
    const all = [...digests];
    // A known suspect among fresh bodies is the likelier cause: only it is counted.
    const known = all.filter((digest) => this.crashCounts.has(digest));
    const blamed = known.length > 0 ? known : all;
    blamed.forEach((digest) =>
      this.crashCounts.set(digest, (this.crashCounts.get(digest) ?? 0) + 1),
    );
    this.onCrash(blamed.map((digest) => ({ digest, deaths: this.crashCounts.get(digest)! })));
  }

  /** Takes a body's whole answer, which clears it. */
  recordSuccess(digest: string): void {
    this.crashCounts.delete(digest);
  }

  /** Returns whether the body has crashed so many endpoints that it must not run again. */
  isPoison(digest: string): boolean {
    const { poisonCrashCount: poisonCrashCount = POISON_CRASH_COUNT } = this.options;
    return (this.crashCounts.get(digest) ?? 0) >= poisonCrashCount;
  }

  /** Returns whether the body was on an endpoint that died. */
  isSuspect(digest: string): boolean {
    return this.crashCounts.has(digest);
  }

  /** Returns the latest suspects, for peers. */
  getSuspects(): Suspect[] {
    const latest = [...this.crashCounts.entries()].slice(0, GOSSIPED_SUSPECTS_MAX);
    return latest.map(([digest, deaths]) => ({ digest, deaths }));
  }

  /** Takes over what a peer saw. */
  merge(suspects: readonly Suspect[]): void {
    suspects.forEach(({ digest, deaths }) => {
      this.crashCounts.set(digest, Math.max(deaths, this.crashCounts.get(digest) ?? 0));
    });
  }
}
