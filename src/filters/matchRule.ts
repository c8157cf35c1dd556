/** Finds the rule that allows the caller to use the service, and computes the worst-case cost of the call. */
import { minimatch } from 'minimatch';
import { Err } from '../core/results.js';
import { Filter, type ChatBody, type Exchange, type FilterResult } from '../types/exchange.js';
import type { ServiceRule } from '../types/rules.js';
import { createRefusal } from '../core/codes.js';
import { getAllowKey } from '../rules/checker.js';

/** Maximum number of tokens that a chat template adds to each message. */
const TEMPLATE_TOKENS_PER_MESSAGE = 16;

const REPEATABLE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);
/** Header whose value `no` marks a call as non-idempotent. */
export const IDEMPOTENT_HEADER = 'x-idempotent';

/**
 * Returns the maximum number of tokens that a chat can use. A byte-level tokenizer produces at most one
 * token for each byte, so the size of the JSON bounds the prompt.
 *
 * @example
 * getWorstCaseTokens(chat); // prompt bytes + 16 for each message + maximum output tokens
 */
export function getWorstCaseTokens(chat: ChatBody): number {
  const { model, stream, ...prompt } = chat.fields;
  const promptBytes = Buffer.byteLength(JSON.stringify(prompt));
  return promptBytes + TEMPLATE_TOKENS_PER_MESSAGE * chat.messages.length + chat.maxTokens;
}

/** Sets `permission`, `worstCaseTokens`, `isAtMostOnce` and `isRetryable`. */
export class MatchRule extends Filter {
  override readonly name = 'matchRule';

  override async handle(
    exchange: Exchange,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    const service = getService(exchange);
    if (!service) {
      const { route } = exchange;
      return Err(createRefusal(route.kind === 'chat' ? 'unknownModel' : 'unknownService'));
    }
    const { rules, key } = exchange;
    const allow = rules.allows.get(getAllowKey(key.name, service.name));
    const budget = allow && rules.budgets.get(allow.budget);
    if (!allow || !budget) {
      return Err(createRefusal('notAllowed'));
    }
    exchange.permission = { allow, budget, service };
    setCostAndRetryPolicy(exchange, service);
    return next();
  }
}

function getService({ route, rules }: Exchange): ServiceRule | undefined {
  switch (route.kind) {
    case 'chat':
      return rules.servicesByModel.get(route.chat.model);
    default: {
      const service = rules.services.get(route.service as never);
      return service?.type === 'plain' ? service : undefined;
    }
  }
}

function setCostAndRetryPolicy(exchange: Exchange, service: ServiceRule): void {
  const { route, request } = exchange;
  switch (route.kind) {
    case 'chat':
      exchange.worstCaseTokens = getWorstCaseTokens(route.chat);
      exchange.isAtMostOnce = request.headers[IDEMPOTENT_HEADER] === 'no';
      break;
    default: {
      const call = `${request.method}:${route.path}`;
      exchange.worstCaseTokens = service.callTokens;
      exchange.isAtMostOnce =
        request.headers[IDEMPOTENT_HEADER] === 'no' ||
        service.once.some((pattern) => minimatch(call, pattern));
      exchange.isRetryable = REPEATABLE_METHODS.has(request.method);
    }
  }
  exchange.isRetryable &&= !exchange.isAtMostOnce;
}
