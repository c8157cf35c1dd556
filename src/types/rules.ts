/** The rules that operators write, one line each, after parsing. */
import type { BudgetId, FundId, ServiceName, WorkspaceId } from './ids.js';

/** Where a rule stands and who asked for it. */
export interface RuleOrigin {
  /** From 1. */
  readonly line: number;
  readonly requester: string;
}

/** A prepaid budget of a workspace. */
export interface BudgetRule extends RuleOrigin {
  readonly kind: 'budget';
  readonly name: BudgetId;
  readonly workspace: WorkspaceId;
  /** How much spending an allotment covers, in milliseconds. */
  readonly horizonMs: number;
}

/** A payment into a budget; its name is unique within the budget, so it adds once. */
export interface FundRule extends RuleOrigin {
  readonly kind: 'fund';
  readonly name: FundId;
  readonly budget: BudgetId;
  readonly tokens: number;
}

/** A caller's key, kept only as a hash. */
export interface KeyRule extends RuleOrigin {
  readonly kind: 'key';
  readonly name: string;
  readonly workspace: WorkspaceId;
  readonly sha256: string;
}

/** Lets a key spend a budget on a service. */
export interface AllowRule extends RuleOrigin {
  readonly kind: 'allow';
  readonly name: string;
  readonly budget: BudgetId;
  readonly service: ServiceName;
  /** Higher goes first, 0 to 9. */
  readonly priority: number;
  /** What a served request is worth, for comparing requests of one priority. */
  readonly worth: number;
}

/** A service that callers use. */
export interface ServiceRule extends RuleOrigin {
  readonly kind: 'service';
  readonly name: ServiceName;
  readonly type: 'engine' | 'plain';
  /** Model names that an engine service answers to. */
  readonly models: readonly string[];
  /** `METHOD:/path` patterns of calls that may not be repeated; `*` matches within a segment. */
  readonly once: readonly string[];
  /** What a call to a plain service costs, in tokens. */
  readonly callTokens: number;
}

/** Says which vms are endpoints of a service, by a pattern of their names. */
export interface EndpointRule extends RuleOrigin {
  readonly kind: 'endpoint';
  readonly name: string;
  readonly service: ServiceName;
  /** Whether the endpoint refuses orders with an old fencing number. */
  readonly fencing: boolean;
  /** How many requests one endpoint runs at a time. */
  readonly slots: number;
}

/** Any rule. */
export type Rule = BudgetRule | FundRule | KeyRule | AllowRule | ServiceRule | EndpointRule;

/** A checked set of rules, indexed for requests. */
export interface RuleSet {
  readonly budgets: ReadonlyMap<BudgetId, BudgetRule>;
  /** By budget and name. */
  readonly funds: ReadonlyMap<string, FundRule>;
  readonly keysBySha256: ReadonlyMap<string, KeyRule>;
  /** By key name and service. */
  readonly allows: ReadonlyMap<string, AllowRule>;
  readonly services: ReadonlyMap<ServiceName, ServiceRule>;
  readonly servicesByModel: ReadonlyMap<string, ServiceRule>;
  /** By name. */
  readonly endpoints: ReadonlyMap<string, EndpointRule>;
}
