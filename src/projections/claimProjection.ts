/** The projection of a claim stream. The first claim of a key wins, and only its holder can release it. */
import type { ClaimKey, Incarnation, RequestId } from '../types/ids.js';
import type { ClaimEntry, Entry, OutcomeEntry } from '../types/records.js';
import { Projection, type EntryContext } from './projection.js';

/** The result of a claimed call. */
export interface Outcome {
  readonly status: number;
  readonly contentType: string;
  /** Whether `body` is the complete response body. Bodies above the size limit are not stored. */
  readonly kept: boolean;
  readonly body: Uint8Array;
}

/** A claimed call. Without an outcome, only the holder knows whether the call ran. */
export interface Claim {
  readonly holder: Incarnation;
  readonly request: RequestId;
  /** SHA-256 of the request body, to detect a key that is reused with another body. */
  readonly digest: string;
  outcome?: Outcome;
}

/** The number of claims above which the oldest completed claim is evicted. */
export const RETAINED_CLAIMS_MAX = 100_000;

/**
 * The claims of one claim stream.
 *
 * @example
 * projection.apply({ kind: 'claim', key, request, digest }, context);
 * projection.claims.get(key)?.holder; // the incarnation whose claim came first
 */
export class ClaimProjection extends Projection {
  readonly claims = new Map<ClaimKey, Claim>();

  constructor(private readonly retainedClaimsMax = RETAINED_CLAIMS_MAX) {
    super();
  }

  override apply(entry: Entry, context: EntryContext): void {
    switch (entry.kind) {
      case 'claim':
        this.applyClaim(entry, context.incarnation);
        break;
      case 'release':
        if (this.isHeldBy(entry.key, entry.request, context.incarnation)) {
          this.claims.delete(entry.key);
        }
        break;
      case 'outcome':
        this.applyOutcome(entry, context.incarnation);
        break;
      default:
    }
  }

  override save(): unknown {
    return [...this.claims].map(([key, { holder, request, digest, outcome }]) => [
      key,
      holder,
      request,
      digest,
      outcome ? [outcome.status, outcome.contentType, outcome.kept, outcome.body] : undefined,
    ]);
  }

  override load(saved: unknown): void {
    this.claims.clear();
    (saved as SavedClaim[]).forEach(([key, holder, request, digest, outcome]) => {
      const claim: Claim = { holder, request, digest };
      if (outcome) {
        const [status, contentType, kept, body] = outcome;
        claim.outcome = { status, contentType, kept, body };
      }
      this.claims.set(key, claim);
    });
  }

  private applyClaim(entry: ClaimEntry, holder: Incarnation): void {
    if (this.claims.has(entry.key)) {
      return;
    }
    this.claims.set(entry.key, { holder, request: entry.request, digest: entry.digest });
  }

  private applyOutcome(entry: OutcomeEntry, incarnation: Incarnation): void {
    const claim = this.claims.get(entry.key);
    if (!claim || claim.outcome || !this.isHeldBy(entry.key, entry.request, incarnation)) {
      return;
    }
    const { status, contentType, kept, body } = entry;
    claim.outcome = { status, contentType, kept, body };
    this.evictOldestCompletedClaim();
  }

  private isHeldBy(key: ClaimKey, request: RequestId, incarnation: Incarnation): boolean {
    const claim = this.claims.get(key);
    return claim !== undefined && claim.holder === incarnation && claim.request === request;
  }

  /** Evicts the oldest completed claim above the limit. Claims without an outcome are never evicted. */
  private evictOldestCompletedClaim(): void {
    if (this.claims.size <= this.retainedClaimsMax) {
      return;
    }
    const oldest = [...this.claims].find(([, claim]) => claim.outcome !== undefined);
    if (oldest) {
      this.claims.delete(oldest[0]);
    }
  }
}

type SavedClaim = [
  ClaimKey,
  Incarnation,
  RequestId,
  string,
  [number, string, boolean, Uint8Array] | null | undefined,
];
