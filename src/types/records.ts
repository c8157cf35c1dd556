/** The entries of the system's streams. A stream's state is a fold over its entries in log order. */
import type {
  BudgetId,
  ClaimKey,
  FundId,
  Incarnation,
  Offset,
  RequestId,
  RulesVersion,
  WorkspaceId,
} from './ids.js';

/** Sets what one fund holds, as of a version of the rules. Older versions are ignored. */
export interface FundEntry {
  readonly kind: 'fund';
  readonly budget: BudgetId;
  readonly fund: FundId;
  readonly tokens: number;
  readonly version: RulesVersion;
}

/** Asks for tokens: at least `need`, up to `want`. Waits in order where `need` is not there. */
export interface AskEntry {
  readonly kind: 'ask';
  readonly budget: BudgetId;
  readonly ask: number;
  readonly need: number;
  readonly want: number;
}

/**
 * Withdraws an ask that was not granted yet: the writer's own, or one of another holder that blocks
 * those behind it. A holder whose ask was withdrawn by another asks again while it still has a need.
 */
export interface CancelEntry {
  readonly kind: 'cancel';
  readonly budget: BudgetId;
  readonly ask: number;
  readonly holder: Incarnation;
}

/** Gives back granted tokens that the holder can no longer spend. */
export interface ReturnEntry {
  readonly kind: 'return';
  readonly budget: BudgetId;
  readonly tokens: number;
}

/** States a holder's running totals, so that others know how much of its grant is in doubt. */
export interface ReportEntry {
  readonly kind: 'report';
  readonly budget: BudgetId;
  readonly spent: number;
  readonly sent: number;
  readonly received: number;
  /** Set aside for requests in flight when the report was made. */
  readonly held: number;
}

/** The entries of a budget stream. */
export type BudgetEntry = FundEntry | AskEntry | CancelEntry | ReturnEntry | ReportEntry;

/** Claims a call that may not be repeated. The first claim of a key wins. */
export interface ClaimEntry {
  readonly kind: 'claim';
  readonly key: ClaimKey;
  readonly request: RequestId;
  readonly digest: string;
}

/** States that the holder of a claim never sent the call, so that the key is free again. */
export interface ReleaseEntry {
  readonly kind: 'release';
  readonly key: ClaimKey;
  readonly request: RequestId;
}

/** Keeps the answer of a claimed call, or only its status where the answer is too large. */
export interface OutcomeEntry {
  readonly kind: 'outcome';
  readonly key: ClaimKey;
  readonly request: RequestId;
  readonly status: number;
  readonly contentType: string;
  readonly kept: boolean;
  readonly body: Uint8Array;
}

/** The entries of a claim stream. */
export type ClaimStreamEntry = ClaimEntry | ReleaseEntry | OutcomeEntry;

/** Bills one request. The first bill of a request wins. */
export interface BillEntry {
  readonly kind: 'bill';
  readonly request: RequestId;
  readonly workspace: WorkspaceId;
  readonly budget: BudgetId;
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly outcome: 'whole' | 'partial';
}

/** Replaces lines of the rules. Accepted where `base` is the accepted version. */
export interface EditEntry {
  readonly kind: 'edit';
  readonly edit: string;
  readonly base: RulesVersion;
  readonly author: string;
  readonly changes: readonly LineChange[];
  /** SHA-256 of the whole text after the edit. */
  readonly digest: string;
}

/** Removes lines at a position of the base text and puts others in their place. */
export interface LineChange {
  readonly at: number;
  readonly remove: number;
  readonly insert: readonly string[];
}

/** One part of the state of a stream as of an offset. */
export interface CheckpointEntry {
  readonly kind: 'checkpoint';
  /** The state covers every record before this offset. */
  readonly asOf: Offset;
  readonly part: number;
  readonly parts: number;
  readonly data: Uint8Array;
}

/** Any entry of any stream. */
export type Entry = BudgetEntry | ClaimStreamEntry | BillEntry | EditEntry | CheckpointEntry;

/** The unit of appending: entries of one process for one stream, stored as one record. */
export interface Batch {
  readonly incarnation: Incarnation;
  /** Counts the batches of this incarnation in this stream, from 1. */
  readonly sequence: number;
  readonly entries: readonly Entry[];
}
