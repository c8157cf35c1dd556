/**
 * Finds request bodies that crash endpoints. Every body in flight on an endpoint that crashes becomes
 * suspect. From then on suspects run on different endpoints, so that the next crash identifies the cause.
 */
import { LRUCache } from 'lru-cache';
import type { Suspect } from '../types/peers.js';

/** Default number of crashes after which a body is refused. */
export const POISON_CRASH_COUNT = 2;

const REMEMBERED_SUSPECTS_MAX = 1_000;
const GOSSIPED_SUSPECTS_MAX = 20;

/** Options of the controller. */
export interface SuspectControllerOptions {
  /** Number of crashes after which a body is refused. Default 2. */
  readonly poisonCrashCount?: number;
}

/** The suspect bodies known to this process, by digest. */
export class SuspectController {
  private readonly crashCounts = new LRUCache<string, number>({ max: REMEMBERED_SUSPECTS_MAX });

  constructor(private readonly options: SuspectControllerOptions = {}) {}

  /** Called after each crash with the bodies blamed for it, to inform peers at once. */
  onCrash: (suspects: readonly Suspect[]) => void = () => {};

  /** Records a crash of an endpoint with the digests of the bodies in flight on it. */
  recordCrash(digests: Iterable<string>): void {
    const all = [...digests];
    // Known suspects are the likelier cause, so bodies that are not suspect yet are not counted.
    const knownSuspects = all.filter((digest) => this.crashCounts.has(digest));
    const blamed = knownSuspects.length > 0 ? knownSuspects : all;
    blamed.forEach((digest) =>
      this.crashCounts.set(digest, (this.crashCounts.get(digest) ?? 0) + 1),
    );
    this.onCrash(blamed.map((digest) => ({ digest, deaths: this.crashCounts.get(digest)! })));
  }

  /** Clears a body for which an endpoint sent a complete response. */
  recordSuccess(digest: string): void {
    this.crashCounts.delete(digest);
  }

  /** Returns whether the body has crashed enough endpoints to be refused. */
  isPoison(digest: string): boolean {
    const { poisonCrashCount = POISON_CRASH_COUNT } = this.options;
    return (this.crashCounts.get(digest) ?? 0) >= poisonCrashCount;
  }

  /** Returns whether the body was in flight on an endpoint that crashed. */
  isSuspect(digest: string): boolean {
    return this.crashCounts.has(digest);
  }

  /** Returns the most recent suspects, to be sent to peers. */
  getSuspects(): Suspect[] {
    const latest = [...this.crashCounts.entries()].slice(0, GOSSIPED_SUSPECTS_MAX);
    return latest.map(([digest, deaths]) => ({ digest, deaths }));
  }

  /** Merges the suspects of a peer; the higher crash count wins. */
  merge(suspects: readonly Suspect[]): void {
    suspects.forEach(({ digest, deaths }) => {
      this.crashCounts.set(digest, Math.max(deaths, this.crashCounts.get(digest) ?? 0));
    });
  }
}
