/** One request of a caller on its way through the filter chain. */
import type { Result } from '../core/results.js';
import type { ClaimKey, RequestId } from './ids.js';
import type { AllowRule, BudgetRule, KeyRule, RuleSet, ServiceRule } from './rules.js';
import type { Refusal } from '../core/codes.js';

/** What the caller sent. */
export interface CallerRequest {
  readonly method: string;
  readonly path: string;
  /** With its `?`, or empty. */
  readonly query: string;
  readonly headers: Readonly<Record<string, string | undefined>>;
  readonly body: Uint8Array;
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal;
}

/** Where the answer goes. */
export abstract class CallerResponse {
  /** Whether the head was sent, after which no other status can be. */
  abstract isHeadSent(): boolean;

  /** Sends a whole answer. */
  abstract send(
    status: number,
    headers: Readonly<Record<string, string>>,
    body: string | Uint8Array,
  ): void;

  /** Sends the head of a streamed answer. */
  abstract sendHead(status: number, headers: Readonly<Record<string, string>>): void;

  /** Sends a part; resolves when more may be sent. */
  abstract write(chunk: string | Uint8Array): Promise<void>;

  /** Ends a streamed answer. */
  abstract end(): void;

  /** Breaks the connection, so that the caller can't take a part for the whole. */
  abstract destroy(): void;
}

/** The parts of a chat request that the router looks at. */
export interface ChatBody {
  readonly model: string;
  readonly messages: readonly unknown[];
  readonly stream: boolean;
  readonly includeUsage: boolean;
  readonly maxTokens: number;
  /** The body as parsed, to be sent on. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What the request asks for. */
export type Route =
  | { readonly kind: 'chat'; readonly chat: ChatBody }
  | { readonly kind: 'plain'; readonly service: string; readonly path: string };

/** Tokens that a request used. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** What a request may do, by the rules. */
export interface Permission {
  readonly allow: AllowRule;
  readonly budget: BudgetRule;
  readonly service: ServiceRule;
}

/** How a call that may not be repeated is claimed. */
export interface ClaimReference {
  readonly key: ClaimKey;
}

/**
 * The state of one request. Fields marked with a filter's name are set by it and may be read by the
 * filters after it.
 */
export class Exchange {
  /** Names the request for billing; the caller's own id where it sent one. Set by `identify`. */
  id!: RequestId;

  /** Whether the caller chose the id, so that a repeat can be recognised. Set by `identify`. */
  hasCallerId = false;

  /** SHA-256 of route and body. Set by `identify`. */
  digest!: string;

  /** In milliseconds of the timer service. Set by `identify`. */
  deadline!: number;

  /** The rules that hold for the whole request. Set by `authenticate`. */
  rules!: RuleSet;

  /** Set by `authenticate`. */
  key!: KeyRule;

  /** Set by `validate`. */
  route!: Route;

  /** Set by `matchRule`. */
  permission!: Permission;

  /** The most tokens that the request may use, set by `matchRule`. */
  worstCaseTokens!: number;

  /** Whether the call may run at most once. Set by `matchRule`. */
  isAtMostOnce = false;

  /** Whether a failed call may be sent again. Set by `matchRule`. */
  isRetryable = true;

  /** Present where the call is claimed. Set by `claim`. */
  claim: ClaimReference | undefined;

  /** What was used so far; decides what the budget is charged. */
  usage: Usage = { promptTokens: 0, completionTokens: 0 };

  /** Whether this router billed the request before, so that it is not charged again. */
  isAlreadyBilled = false;

  /** Whether a bill for the request was stored or is being stored. Set by `bill`. */
  isBilled = false;

  /** Stores the bill for the usage; repeats do nothing. Set by `bill`. */
  storeBill: (outcome: 'whole' | 'partial') => Promise<void> = () => Promise.resolve();

  constructor(
    readonly request: CallerRequest,
    readonly response: CallerResponse,
    readonly arrivedAt: number,
  ) {}
}

/** What a filter returns: nothing, or why the request is refused. */
export type FilterResult = Result<void, Refusal>;

/** One step of a chain, by default of that for rules and budgets. */
export abstract class Filter<Subject = Exchange> {
  /** Names the step in metrics. */
  abstract readonly name: string;

  /** Handles the request and calls `next` for the rest of the chain, or refuses. */
  abstract handle(subject: Subject, next: () => Promise<FilterResult>): Promise<FilterResult>;
}
