/** The state of a caller's request in the filter chain, and the filter interface. */
import type { Result } from '../core/results.js';
import type { ClaimKey, RequestId } from './ids.js';
import type { AllowRule, BudgetRule, KeyRule, RuleSet, ServiceRule } from './rules.js';
import type { Refusal } from '../core/codes.js';

/** A request as received from the caller. */
export interface CallerRequest {
  readonly method: string;
  readonly path: string;
  /** Includes the leading `?`; empty if there is no query. */
  readonly query: string;
  readonly headers: Readonly<Record<string, string | undefined>>;
  readonly body: Uint8Array;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** The response to the caller. */
export abstract class CallerResponse {
  /** Returns whether the head has been sent, so that the status can't change any more. */
  abstract isHeadSent(): boolean;

  /** Sends a complete response. */
  abstract send(
    status: number,
    headers: Readonly<Record<string, string>>,
    body: string | Uint8Array,
  ): void;

  /** Sends the head of a streamed response. */
  abstract sendHead(status: number, headers: Readonly<Record<string, string>>): void;

  /** Sends a chunk; resolves when the next one may be sent. */
  abstract write(chunk: string | Uint8Array): Promise<void>;

  /** Ends a streamed response. */
  abstract end(): void;

  /** Destroys the connection, so that the caller can't mistake a truncated response for a complete one. */
  abstract destroy(): void;
}

/** The fields of a chat request that the router uses. */
export interface ChatBody {
  readonly model: string;
  readonly messages: readonly unknown[];
  readonly stream: boolean;
  readonly includeUsage: boolean;
  readonly maxTokens: number;
  /** The parsed body, to be forwarded. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The kind and target of a request. */
export type Route =
  | { readonly kind: 'chat'; readonly chat: ChatBody }
  | { readonly kind: 'plain'; readonly service: string; readonly path: string };

/** Tokens that a request used. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** The rules that permit a request. */
export interface Permission {
  readonly allow: AllowRule;
  readonly budget: BudgetRule;
  readonly service: ServiceRule;
}

/** Refers to the claim of a call that may run at most once. */
export interface ClaimReference {
  readonly key: ClaimKey;
}

/**
 * The state of one request. Fields marked with a filter's name are set by that filter and may be read by
 * later ones.
 */
export class Exchange {
  /** Identifies the request for billing; the caller's id if it sent one. Set by `identify`. */
  id!: RequestId;

  /** Whether the caller sent the id, so that duplicates can be recognised. Set by `identify`. */
  hasCallerId = false;

  /** SHA-256 of method, path, query and body. Set by `identify`. */
  digest!: string;

  /** Time of the timer service, in milliseconds. Set by `identify`. */
  deadline!: number;

  /** The rules in force when the request was authenticated, used until it ends. Set by `authenticate`. */
  rules!: RuleSet;

  /** Set by `authenticate`. */
  key!: KeyRule;

  /** Set by `validate`. */
  route!: Route;

  /** Set by `matchRule`. */
  permission!: Permission;

  /** Maximum number of tokens that the request may use. Set by `matchRule`. */
  worstCaseTokens!: number;

  /** Whether the call may run at most once. Set by `matchRule`. */
  isAtMostOnce = false;

  /** Whether a failed call may be retried. Set by `matchRule`. */
  isRetryable = true;

  /** Present if the call is claimed. Set by `claim`. */
  claim: ClaimReference | undefined;

  /** Tokens used so far, which determine the charge to the budget. */
  usage: Usage = { promptTokens: 0, completionTokens: 0 };

  /** Whether this router billed the request before, so that it is not charged again. Set by `deduplicate`. */
  isAlreadyBilled = false;

  /** Whether a bill for the request was stored or is being stored. Set by `bill`. */
  isBilled = false;

  /** Stores the bill for the usage; later calls have no effect. Set by `bill`. */
  storeBill: (outcome: 'whole' | 'partial') => Promise<void> = () => Promise.resolve();

  constructor(
    readonly request: CallerRequest,
    readonly response: CallerResponse,
    readonly arrivedAt: number,
  ) {}
}

/** The result of a filter: nothing, or the refusal of the request. */
export type FilterResult = Result<void, Refusal>;

/** One step of a filter chain; by default of a router's chain. */
export abstract class Filter<Subject = Exchange> {
  /** The label of the filter in metrics. */
  abstract readonly name: string;

  /** Handles the request and calls `next` for the rest of the chain, or refuses the request. */
  abstract handle(subject: Subject, next: () => Promise<FilterResult>): Promise<FilterResult>;
}
