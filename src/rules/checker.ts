/** Checks rules against each other and indexes them. */
import { Err, Ok, type Result } from '../core/results.js';
import { LRUCache } from 'lru-cache';
import type {
  AllowRule,
  BudgetRule,
  EndpointRule,
  FundRule,
  KeyRule,
  Rule,
  RuleSet,
  ServiceRule,
} from '../types/rules.js';
import { assertNever } from '../core/utilities.js';
import { createDiagnostic, type Diagnostic } from './diagnostics.js';
import { parseLine } from './parser.js';

interface MutableRuleSet {
  readonly budgets: Map<string, BudgetRule>;
  readonly funds: FundRule[];
  readonly keysBySha256: Map<string, KeyRule>;
  readonly allows: Map<string, AllowRule>;
  readonly services: Map<string, ServiceRule>;
  readonly servicesByModel: Map<string, ServiceRule>;
  readonly endpoints: EndpointRule[];
}

/** Parsed lines by their text: an edit changes few lines of many. */
const parsedLines = new LRUCache<string, Result<Rule | undefined, Diagnostic>>({ max: 65_536 });

/**
 * Parses and checks the lines of a rules file.
 *
 * @example
 * const rules = checkRules(['budget quotes workspace=yard # Rosa']);
 * if (rules.err) rules.val.forEach(({ line, message }) => report(line, message));
 */
export function checkRules(lines: readonly string[]): Result<RuleSet, readonly Diagnostic[]> {
  const found: Diagnostic[] = [];
  const rules: Rule[] = [];
  lines.forEach((line, index) => {
    const parsed = parseCached(line, index + 1);
    if (parsed.err) {
      found.push(parsed.val);
    } else if (parsed.val) {
      rules.push(parsed.val);
    }
  });
  const set = createRuleSet();
  const lineOfName = new Map<string, number>();
  rules.forEach((rule) => addRule(set, rule, lineOfName, found));
  rules.forEach((rule) => checkReferences(set, rule, lineOfName, found));
  found.sort((a, b) => a.line - b.line);
  return found.length > 0 ? Err(found) : Ok(set as unknown as RuleSet);
}

/** Returns the key under which a caller's permission for a service is indexed. */
export function getAllowKey(keyName: string, service: string): string {
  return `${keyName}\n${service}`;
}

function parseCached(line: string, number: number): Result<Rule | undefined, Diagnostic> {
  let parsed = parsedLines.get(line);
  if (!parsed) {
    parsed = parseLine(line, number);
    parsedLines.set(line, parsed);
  }
  if (parsed.err) {
    return Err({ ...parsed.val, line: number });
  }
  return Ok(parsed.val && { ...parsed.val, line: number });
}

function createRuleSet(): MutableRuleSet {
  return {
    budgets: new Map(),
    funds: [],
    keysBySha256: new Map(),
    allows: new Map(),
    services: new Map(),
    servicesByModel: new Map(),
    endpoints: [],
  };
}

function addRule(
  set: MutableRuleSet,
  rule: Rule,
  lineOfName: Map<string, number>,
  found: Diagnostic[],
): void {
  const id = getRuleId(rule);
  const known = lineOfName.get(id);
  if (known !== undefined) {
    found.push(
      createDiagnostic('repeatedRule', rule.line, id.replaceAll('\n', ' '), String(known)),
    );
    return;
  }
  lineOfName.set(id, rule.line);
  switch (rule.kind) {
    case 'budget':
      set.budgets.set(rule.name, rule);
      break;
    case 'fund':
      set.funds.push(rule);
      break;
    case 'key':
      set.keysBySha256.set(rule.sha256, rule);
      break;
    case 'allow':
      set.allows.set(getAllowKey(rule.name, rule.service), rule);
      break;
    case 'service':
      set.services.set(rule.name, rule);
      rule.models.forEach((model) => set.servicesByModel.set(model, rule));
      break;
    case 'endpoint':
      set.endpoints.push(rule);
      break;
    default:
      assertNever(rule);
  }
}

/** Returns what must be unique about a rule. */
function getRuleId(rule: Rule): string {
  switch (rule.kind) {
    case 'fund':
      return `fund\n${rule.budget}\n${rule.name}`;
    case 'allow':
      return `allow\n${getAllowKey(rule.name, rule.service)}`;
    default:
      return `${rule.kind}\n${rule.name}`;
  }
}

function checkReferences(
  set: MutableRuleSet,
  rule: Rule,
  lineOfName: ReadonlyMap<string, number>,
  found: Diagnostic[],
): void {
  const references: [string, string][] = [];
  if (rule.kind === 'fund' || rule.kind === 'allow') {
    references.push(['budget', rule.budget]);
  }
  if (rule.kind === 'allow' || rule.kind === 'endpoint') {
    references.push(['service', rule.service]);
  }
  if (rule.kind === 'allow') {
    references.push(['key', rule.name]);
  }
  references
    .filter(([kind, name]) => !lineOfName.has(`${kind}\n${name}`))
    .forEach(([kind, name]) => {
      found.push(createDiagnostic('unknownReference', rule.line, kind, name));
    });
}
