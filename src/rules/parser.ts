/** Parses scanned lines into rules and validates their fields by schema. */
import * as z from 'zod';
import { Err, Ok, type Result } from '../core/results.js';
import type { Rule } from '../types/rules.js';
import { createDiagnostic, type Diagnostic } from './diagnostics.js';
import { scanLine, type Word } from './scanner.js';

const DEFAULT_HORIZON_MS = 600_000;
const DURATION_UNITS: Record<string, number> = { ms: 1, s: 1_000, m: 60_000 };

const name = z.string().regex(/^[\w.*-]+$/, 'expected letters, digits, dots, dashes');
const tokens = z
  .string()
  .regex(/^\d{1,15}$/, 'expected a whole number of tokens')
  .transform(Number);
const duration = z
  .string()
  .regex(/^\d{1,9}(ms|s|m)$/, "expected a duration such as '30s'")
  .transform((text) => {
    const [, digits, unit] = /^(\d+)(\w+)$/.exec(text)!;
    return Number(digits) * DURATION_UNITS[unit!]!;
  });
const list = z.string().transform((text) => text.split(',').filter((part) => part.length > 0));
const digit = z.string().regex(/^\d$/, 'expected 0 to 9').transform(Number);
const count = z
  .string()
  .regex(/^[1-9]\d{0,5}$/, 'expected a count above 0')
  .transform(Number);
const decimal = z
  .string()
  .regex(/^\d{1,9}(\.\d{1,6})?$/, 'expected a number')
  .transform(Number);
const yesNo = z.enum(['yes', 'no'], { error: "expected 'yes' or 'no'" });

/** The fields of each kind of rule. */
const SCHEMAS = {
  budget: z.strictObject({ workspace: name, horizon: duration.optional() }),
  fund: z.strictObject({ budget: name, tokens }),
  key: z.strictObject({
    workspace: name,
    sha256: z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 hexadecimal digits'),
  }),
  allow: z.strictObject({
    budget: name,
    service: name,
    priority: digit.default(5),
    worth: decimal.default(1),
  }),
  service: z.strictObject({
    type: z.enum(['engine', 'plain'], { error: "expected 'engine' or 'plain'" }),
    models: list.default([]),
    once: list.default([]),
    'call-tokens': tokens.default(0),
  }),
  endpoint: z.strictObject({
    service: name,
    fencing: yesNo.default('no'),
    slots: count.default(8),
  }),
} as const;

type RuleKind = keyof typeof SCHEMAS;

/**
 * Parses one line. Returns `Ok(undefined)` for a line without a rule.
 *
 * @example
 * parseLine('fund may budget=quotes tokens=5000 # Rosa', 7); // Ok({ kind: 'fund', line: 7, ... })
 */
export function parseLine(line: string, number: number): Result<Rule | undefined, Diagnostic> {
  const { words, comment } = scanLine(line);
  const [kind, ruleName, ...fields] = words;
  if (!kind) {
    return Ok(undefined);
  }
  if (!isRuleKind(kind.text)) {
    const expected = Object.keys(SCHEMAS).join(', ');
    return Err(createDiagnostic('unknownRule', number, kind.text, expected));
  }
  if (!comment) {
    return Err(createDiagnostic('missingRequester', number));
  }
  if (!ruleName || ruleName.text.includes('=')) {
    return Err(createDiagnostic('missingName', number, kind.text));
  }
  const values = parseFields(fields, number);
  if (values.err) {
    return values;
  }
  return createRule(kind.text, ruleName.text, values.val, { line: number, requester: comment });
}

function isRuleKind(text: string): text is RuleKind {
  return Object.hasOwn(SCHEMAS, text);
}

function parseFields(
  words: readonly Word[],
  line: number,
): Result<Record<string, string>, Diagnostic> {
  const values: Record<string, string> = {};
  for (let index = 0; index < words.length; index += 1) {
    const { text } = words[index]!;
    const equals = text.indexOf('=');
    if (equals <= 0) {
      return Err(createDiagnostic('invalidField', line, text));
    }
    const field = text.slice(0, equals);
    if (Object.hasOwn(values, field)) {
      return Err(createDiagnostic('repeatedField', line, field));
    }
    values[field] = text.slice(equals + 1);
  }
  return Ok(values);
}

function createRule(
  kind: RuleKind,
  ruleName: string,
  values: Record<string, string>,
  origin: { readonly line: number; readonly requester: string },
): Result<Rule, Diagnostic> {
  const parsedName = name.safeParse(ruleName);
  if (!parsedName.success) {
    return Err(
      createDiagnostic('invalidValue', origin.line, ruleName, getIssueMessage(parsedName.error)),
    );
  }
  const parsed = SCHEMAS[kind].safeParse(values);
  if (!parsed.success) {
    return Err(createFieldDiagnostic(kind, values, parsed.error, origin.line));
  }
  return Ok({ kind, name: ruleName, ...origin, ...getRuleFields(kind, parsed.data) } as Rule);
}

/** Converts the fields of the file into the properties of the rule. */
function getRuleFields(kind: RuleKind, data: Record<string, unknown>): Record<string, unknown> {
  switch (kind) {
    case 'budget':
      return { workspace: data.workspace, horizonMs: data.horizon ?? DEFAULT_HORIZON_MS };
    case 'service': {
      const { 'call-tokens': callTokens, ...rest } = data;
      return { ...rest, callTokens };
    }
    case 'endpoint':
      return { ...data, fencing: data.fencing === 'yes' };
    default:
      return data;
  }
}

function createFieldDiagnostic(
  kind: RuleKind,
  values: Record<string, string>,
  error: z.ZodError,
  line: number,
): Diagnostic {
  const [issue] = error.issues;
  if (issue?.code === 'unrecognized_keys') {
    return createDiagnostic('unknownField', line, kind, issue.keys.join(', '));
  }
  const field = String(issue?.path[0]);
  if (!Object.hasOwn(values, field)) {
    return createDiagnostic('missingField', line, kind, field);
  }
  return createDiagnostic(
    'invalidValue',
    line,
    `${field}=${values[field]}`,
    getIssueMessage(error),
  );
}

function getIssueMessage(error: z.ZodError): string {
  return error.issues[0]?.message ?? 'invalid';
}
