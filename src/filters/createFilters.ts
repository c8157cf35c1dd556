/** Creates the filter chain of a router. */
import type { EndpointClient } from '../types/endpoints.js';
import type { Filter } from '../types/exchange.js';
import type { Metrics } from '../core/metrics.js';
import type { Settings } from '../core/settings.js';
import type { TimerService } from '../core/timers.js';
import type { BudgetController } from '../controllers/budgetController.js';
import type { ClaimController } from '../controllers/claimController.js';
import type { EndpointController } from '../controllers/endpointController.js';
import { LOG_UNAVAILABLE_MS } from '../controllers/logTokenSource.js';
import type { RulesController } from '../controllers/rulesController.js';
import type { SuspectController } from '../controllers/suspectController.js';
import type { StreamWriter } from '../log/streamWriter.js';
import { RetryBudget } from '../routing/retryBudget.js';
import { Admit, type SlotQueues } from './admit.js';
import { Authenticate } from './authenticate.js';
import { Bill } from './bill.js';
import { ClaimCall } from './claim.js';
import { Deduplicate } from './deduplicate.js';
import { HoldBudget } from './holdBudget.js';
import { Identify } from './identify.js';
import { MatchRule } from './matchRule.js';
import { Relay } from './relay.js';
import { Validate } from './validate.js';

/** Dependencies of the filters. */
export interface FilterDependencies {
  readonly settings: Settings;
  readonly timers: TimerService;
  readonly metrics: Metrics;
  readonly endpointClient: EndpointClient;
  readonly rules: RulesController;
  readonly budgets: BudgetController;
  readonly claims: ClaimController;
  readonly bills: StreamWriter;
  readonly endpoints: EndpointController;
  readonly queues: SlotQueues;
  readonly suspects: SuspectController;
}

/**
 * Creates the filters of a router in the order of their execution. The budget hold precedes the slot, so
 * that a request that waits for tokens does not occupy a slot.
 *
 * @example
 * runChain({ filters: createFilters(dependencies), timers, metrics }, exchange);
 */
export function createFilters(dependencies: FilterDependencies): Filter[] {
  const { settings, timers, metrics, endpointClient, rules, budgets, bills } = dependencies;
  const { claims, endpoints, queues, suspects } = dependencies;
  const retries = new RetryBudget({ ratio: settings.endpoints.retryPercent / 100 });
  return [
    new Identify({ timers, ...settings.limits }),
    new Authenticate({ getRules: () => rules.getActive() }),
    new Validate(settings.limits),
    new MatchRule(),
    new Deduplicate({ suspects }),
    new Admit(endpoints),
    new HoldBudget({ hold: (budget, tokens) => budgets.hold(budget, tokens) }),
    new Bill({
      timers,
      metrics,
      append: (bill) => bills.append(bill),
      ...settings.billing,
      isLogUnavailable: () => bills.getFailingMs() > LOG_UNAVAILABLE_MS,
    }),
    new ClaimCall({ timers, claims }),
    new Relay({
      timers,
      metrics,
      client: endpointClient,
      endpoints,
      queues,
      claims,
      suspects,
      retries,
    }),
  ];
}
