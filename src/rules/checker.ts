/** Checks the references and names of rules and builds the rule set. */
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

/** A mutable rule set with the line of each rule by its id. */
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
  /** Line numbers as of the check that added the rule; later edits do not update them. */
  readonly lineById: Map<string, number>;
}

const PARSE_CACHE_LINES_MAX = 65_536;

/** Caches parsed lines by their text, since an edit changes few of many lines. */
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

/** Returns the rule set of a table, which reflects later changes of the table. */
export function getRuleSet({ set }: RuleTable): RuleSet {
  return set as unknown as RuleSet;
}

/** Parses and checks lines into a table. */
export function createRuleTable(
  lines: readonly string[],
): Result<RuleTable, readonly Diagnostic[]> {
  const diagnostics: Diagnostic[] = [];
  const rules: Rule[] = [];
  lines.forEach((line, index) => {
    const parsed = parseCached(line, index + 1);
    if (parsed.err) {
      diagnostics.push(parsed.val);
    } else if (parsed.val) {
      rules.push(parsed.val);
    }
  });
  const table = createEmptyTable();
  rules.forEach((rule) => addUniqueRule(table, rule, diagnostics));
  rules.forEach((rule) => checkReferences(table, rule, diagnostics));
  diagnostics.sort((a, b) => a.line - b.line);
  return diagnostics.length > 0 ? Err(diagnostics) : Ok(table);
}

/**
 * Applies the removed and inserted lines of an edit to a table. Returns false and leaves the table unchanged
 * if the edit may invalidate a reference or repeat a name; then the full text has to be checked.
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

/** Returns the key of an allow rule in `RuleSet.allows`. */
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

/** Parses lines into rules. Returns `undefined` if a line has an error. */
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
  { lineById }: RuleTable,
  removed: readonly Rule[],
  inserted: readonly Rule[],
): boolean {
  const removedIds = new Set(removed.map(getRuleId));
  const insertedIds = new Set(inserted.map(getRuleId));
  const isKnown = (id: string) => insertedIds.has(id) || (lineById.has(id) && !removedIds.has(id));
  const isRepeated = [...insertedIds].some((id) => lineById.has(id) && !removedIds.has(id));
  return (
    insertedIds.size === inserted.length &&
    !isRepeated &&
    removed.every((rule) => !isReferable(rule) || insertedIds.has(getRuleId(rule))) &&
    inserted.every((rule) => getReferences(rule).every(isKnown))
  );
}

/** Returns whether other rules may refer to this one. */
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

function addUniqueRule(table: RuleTable, rule: Rule, diagnostics: Diagnostic[]): void {
  const id = getRuleId(rule);
  const firstLine = table.lineById.get(id);
  if (firstLine === undefined) {
    addRule(table, rule);
    return;
  }
  const name = id.replaceAll('\n', ' ');
  diagnostics.push(createDiagnostic('repeatedRule', rule.line, name, String(firstLine)));
}

function addRule({ set, lineById }: RuleTable, rule: Rule): void {
  const id = getRuleId(rule);
  lineById.set(id, rule.line);
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

function removeRule({ set, lineById }: RuleTable, rule: Rule): void {
  const id = getRuleId(rule);
  lineById.delete(id);
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

/** Returns the id of a rule, which must be unique in a rule set. */
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

/** Returns the ids of the rules that a rule refers to. */
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

function checkReferences({ lineById }: RuleTable, rule: Rule, diagnostics: Diagnostic[]): void {
  getReferences(rule)
    .filter((id) => !lineById.has(id))
    .forEach((id) => {
      const [kind, name] = id.split('\n');
      diagnostics.push(createDiagnostic('unknownReference', rule.line, kind!, name!));
    });
}
