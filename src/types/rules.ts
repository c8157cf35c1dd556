/** Parsed rules. Operators write one rule per line. */
import type { BudgetId, FundId, ServiceName, WorkspaceId } from './ids.js';

/** The line of a rule and its requester. */
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
  /** The period of expected spending that an allotment covers, in milliseconds. */
  readonly horizonMs: number;
}

/** A payment into a budget; its name is unique within the budget, so it is credited once. */
export interface FundRule extends RuleOrigin {
  readonly kind: 'fund';
  readonly name: FundId;
  readonly budget: BudgetId;
  readonly tokens: number;
}

/** A caller's key, stored only as a hash. */
export interface KeyRule extends RuleOrigin {
  readonly kind: 'key';
  readonly name: string;
  readonly workspace: WorkspaceId;
  readonly sha256: string;
}

/** Allows a key to spend a budget on a service. */
export interface AllowRule extends RuleOrigin {
  readonly kind: 'allow';
  readonly name: string;
  readonly budget: BudgetId;
  readonly service: ServiceName;
  /** From 0 to 9; higher priorities are served first. */
  readonly priority: number;
  /** Value of a served request, to compare requests of equal priority. */
  readonly worth: number;
}

/** A service that callers use. */
export interface ServiceRule extends RuleOrigin {
  readonly kind: 'service';
  readonly name: ServiceName;
  readonly type: 'engine' | 'plain';
  /** Names of the models that an engine service serves. */
  readonly models: readonly string[];
  /** `METHOD:/path` patterns of calls that may run at most once; `*` matches within a segment. */
  readonly once: readonly string[];
  /** Cost of a call to a plain service, in tokens. */
  readonly callTokens: number;
}

/** Declares the vms whose names match a pattern as endpoints of a service. */
export interface EndpointRule extends RuleOrigin {
  readonly kind: 'endpoint';
  readonly name: string;
  readonly service: ServiceName;
  /** Whether the endpoint refuses calls with an outdated fencing token. */
  readonly fencing: boolean;
  /** Maximum number of concurrent requests per endpoint. */
  readonly slots: number;
}

/** Any rule. */
export type Rule = BudgetRule | FundRule | KeyRule | AllowRule | ServiceRule | EndpointRule;

/** A validated set of rules, indexed for lookups. */
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
