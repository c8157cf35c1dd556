/** The entries of the streams. The state of a stream is a projection of its entries in log order. */
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

/** Sets the tokens of one fund as of a version of the rules. Older versions are ignored. */
export interface FundEntry {
  readonly kind: 'fund';
  readonly budget: BudgetId;
  readonly fund: FundId;
  readonly tokens: number;
  readonly version: RulesVersion;
}

/** Requests at least `need` and up to `want` tokens. Queued in order if fewer than `need` are available. */
export interface AskEntry {
  readonly kind: 'ask';
  readonly budget: BudgetId;
  readonly ask: number;
  readonly need: number;
  readonly want: number;
}

/**
 * Withdraws an ask that has not been granted yet: the writer's own, or one of another holder that blocks
 * the queue. A holder whose ask was withdrawn by another one asks again if it still needs tokens.
 */
export interface CancelEntry {
  readonly kind: 'cancel';
  readonly budget: BudgetId;
  readonly ask: number;
  readonly holder: Incarnation;
}

/** Returns granted tokens, which the holder may no longer spend. */
export interface ReturnEntry {
  readonly kind: 'return';
  readonly budget: BudgetId;
  readonly tokens: number;
}

/** Reports a holder's cumulative totals, so that others know how much of its grant is unaccounted for. */
export interface ReportEntry {
  readonly kind: 'report';
  readonly budget: BudgetId;
  readonly spent: number;
  readonly sent: number;
  readonly received: number;
  /** Tokens held for requests in flight at the time of the report. */
  readonly held: number;
}

/** The entries of a budget stream. */
export type BudgetEntry = FundEntry | AskEntry | CancelEntry | ReturnEntry | ReportEntry;

/** Claims a call that may run at most once. The first claim of a key wins. */
export interface ClaimEntry {
  readonly kind: 'claim';
  readonly key: ClaimKey;
  readonly request: RequestId;
  readonly digest: string;
}

/** Releases a claim whose call was never sent, so that the key can be claimed again. */
export interface ReleaseEntry {
  readonly kind: 'release';
  readonly key: ClaimKey;
  readonly request: RequestId;
}

/** Stores the response to a claimed call, without the body if that is too large. */
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

/** Replaces lines of the rules. Accepted if `base` is the accepted version. */
export interface EditEntry {
  readonly kind: 'edit';
  readonly edit: string;
  readonly base: RulesVersion;
  readonly author: string;
  readonly changes: readonly LineChange[];
  /** SHA-256 of the whole text after the edit. */
  readonly digest: string;
}

/** Replaces lines at a position of the base text. */
export interface LineChange {
  readonly at: number;
  readonly remove: number;
  readonly insert: readonly string[];
}

/** One part of a checkpoint: the state of a stream as of an offset. */
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

/** Entries of one process for one stream, appended as one record. */
export interface Batch {
  readonly incarnation: Incarnation;
  /** Number of the batch within this incarnation and stream, from 1. */
  readonly sequence: number;
  readonly entries: readonly Entry[];
}
