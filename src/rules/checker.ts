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

/** A rule set that can be changed, and the ids of its rules with their lines. */
export interface RuleTable {
  readonly set: {
    readonly budgets: Map<string, BudgetRule>;
    readonly funds: Map<string, FundRule>;
    readonly keysBySha256: Map<string, KeyRule>;
    readonly allows: Map<string, AllowRule>;
    readonly services: Map<string, ServiceRule>;
    readonly servicesByModel: Map<string, ServiceRule>;
    readonly endpoints: Map<string, EndpointRule>;
  };
  /** Line numbers are those of the check that added the rule. */
  readonly lineById: Map<string, number>;
}

const PARSE_CACHE_LINES_MAX = 65_536;

/** Parsed lines by their text: an edit changes few lines of many. */
const parseCache = new LRUCache<string, Result<Rule | undefined, Diagnostic>>({
  max: PARSE_CACHE_LINES_MAX,
});

/**
 * Parses and checks the lines of a rules file.
 *
 * @example
 * const rules = checkRules(['budget quotes workspace=yard # Rosa']);
 * if (rules.err) rules.val.forEach(({ line, message }) => report(line, message));
 */
export function checkRules(lines: readonly string[]): Result<RuleSet, readonly Diagnostic[]> {
  return createRuleTable(lines).map(getRuleSet);
}

/** Returns the rule set of a table; it changes with the table. */
export function getRuleSet({ set }: RuleTable): RuleSet {
  return set as unknown as RuleSet;
}

/** Parses and checks lines into a table. */
export function createRuleTable(
  lines: readonly string[],
): Result<RuleTable, readonly Diagnostic[]> {
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
  const table = createEmptyTable();
  rules.forEach((rule) => addUniqueRule(table, rule, found));
  rules.forEach((rule) => checkReferences(table, rule, found));
  found.sort((a, b) => a.line - b.line);
  return found.length > 0 ? Err(found) : Ok(table);
}

/**
 * Changes a table by the lines that an edit removes and inserts, or leaves it as it is and returns
 * false where the edit could break a reference or a name; then the whole text has to be checked.
 */
export function tryEditTable(
  table: RuleTable,
  removedLines: readonly string[],
  insertedLines: readonly string[],
): boolean {
  const removed = parseLines(removedLines);
  const inserted = parseLines(insertedLines);
  if (!removed || !inserted || !isSafeEdit(table, removed, inserted)) {
    return false;
  }
  removed.forEach((rule) => removeRule(table, rule));
  inserted.forEach((rule) => addRule(table, rule));
  return true;
}

/** Returns the key under which a caller's permission for a service is indexed. */
export function getAllowKey(keyName: string, service: string): string {
  return `${keyName}\n${service}`;
}

function parseCached(line: string, number: number): Result<Rule | undefined, Diagnostic> {
  let parsed = parseCache.get(line);
  if (!parsed) {
    parsed = parseLine(line, number);
    parseCache.set(line, parsed);
  }
  if (parsed.err) {
    return Err({ ...parsed.val, line: number });
  }
  return Ok(parsed.val && { ...parsed.val, line: number });
}

/** Returns the rules of some lines, or `undefined` where one is wrong. */
function parseLines(lines: readonly string[]): Rule[] | undefined {
  const rules: Rule[] = [];
  for (let index = 0; index < lines.length; index += 1) {
    const parsed = parseCached(lines[index]!, 0);
    if (parsed.err) {
      return undefined;
    }
    if (parsed.val) {
      rules.push(parsed.val);
    }
  }
  return rules;
}

function isSafeEdit(
  { lineById: lineOfId }: RuleTable,
  removed: readonly Rule[],
  inserted: readonly Rule[],
): boolean {
  const removedIds = new Set(removed.map(getRuleId));
  const insertedIds = new Set(inserted.map(getRuleId));
  const isKnown = (id: string) => insertedIds.has(id) || (lineOfId.has(id) && !removedIds.has(id));
  const isRepeated = [...insertedIds].some((id) => lineOfId.has(id) && !removedIds.has(id));
  return (
    insertedIds.size === inserted.length &&
    !isRepeated &&
    removed.every((rule) => !isReferable(rule) || insertedIds.has(getRuleId(rule))) &&
    inserted.every((rule) => getReferences(rule).every(isKnown))
  );
}

/** Returns whether other rules may name this one. */
function isReferable({ kind }: Rule): boolean {
  return kind === 'budget' || kind === 'service' || kind === 'key';
}

function createEmptyTable(): RuleTable {
  return {
    set: {
      budgets: new Map(),
      funds: new Map(),
      keysBySha256: new Map(),
      allows: new Map(),
      services: new Map(),
      servicesByModel: new Map(),
      endpoints: new Map(),
    },
    lineById: new Map(),
  };
}

function addUniqueRule(table: RuleTable, rule: Rule, found: Diagnostic[]): void {
  const id = getRuleId(rule);
  const known = table.lineById.get(id);
  if (known === undefined) {
    addRule(table, rule);
    return;
  }
  const name = id.replaceAll('\n', ' ');
  found.push(createDiagnostic('repeatedRule', rule.line, name, String(known)));
}

function addRule({ set, lineById: lineOfId }: RuleTable, rule: Rule): void {
  const id = getRuleId(rule);
  lineOfId.set(id, rule.line);
  switch (rule.kind) {
    case 'budget':
      set.budgets.set(rule.name, rule);
      break;
    case 'fund':
      set.funds.set(id, rule);
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
      set.endpoints.set(rule.name, rule);
      break;
    default:
      assertNever(rule);
  }
}

function removeRule({ set, lineById: lineOfId }: RuleTable, rule: Rule): void {
  const id = getRuleId(rule);
  lineOfId.delete(id);
  switch (rule.kind) {
    case 'budget':
      set.budgets.delete(rule.name);
      break;
    case 'fund':
      set.funds.delete(id);
      break;
    case 'key':
      set.keysBySha256.delete(rule.sha256);
      break;
    case 'allow':
      set.allows.delete(getAllowKey(rule.name, rule.service));
      break;
    case 'service':
      set.services.delete(rule.name);
      rule.models.forEach((model) => set.servicesByModel.delete(model));
      break;
    case 'endpoint':
      set.endpoints.delete(rule.name);
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

/** Returns the ids of the rules that a rule names. */
function getReferences(rule: Rule): string[] {
  switch (rule.kind) {
    case 'fund':
      return [`budget\n${rule.budget}`];
    case 'allow':
      return [`budget\n${rule.budget}`, `service\n${rule.service}`, `key\n${rule.name}`];
    case 'endpoint':
      return [`service\n${rule.service}`];
    default:
      return [];
  }
}

function checkReferences({ lineById: lineOfId }: RuleTable, rule: Rule, found: Diagnostic[]): void {
  getReferences(rule)
    .filter((id) => !lineOfId.has(id))
    .forEach((id) => {
      const [kind, name] = id.split('\n');
      found.push(createDiagnostic('unknownReference', rule.line, kind!, name!));
    });
}
