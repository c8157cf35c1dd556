import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { formatSettingsProblem, parseSettings } from '../../src/core/settings.js';
import { checkRules } from '../../src/rules/checker.js';
import { formatDiagnostic } from '../../src/rules/diagnostics.js';
import { IncrementalChecker } from '../../src/rules/incrementalChecker.js';
import type { RuleSet } from '../../src/types/rules.js';
import { runCommand } from '../support/fleetCalls.js';

const settings = [
  '[router]',
  "vm = 'router-1'",
  "availabilityZone = 'a'",
  '[log]',
  "url = 'http://127.0.0.1:1'",
  '[vms]',
  "url = 'http://127.0.0.1:2'",
  '[peers]',
  "sharedKey = 'sixteen-characters'",
];

function getProblems(lines: readonly string[]): string[] {
  const parsed = parseSettings('r.toml', lines.join('\n'));
  return parsed.err ? parsed.val.map(formatSettingsProblem) : [];
}

test('settings have defaults', () => {
  const parsed = parseSettings('r.toml', settings.join('\n')).unwrap();
  expect(parsed.limits.bodyBytes).toEqual(1_048_576);
  expect(parsed.billing.mode).toEqual('before');
});

const badSettings: [string, string[], string][] = [
  [
    'an unknown key',
    [...settings, '[limits]', 'bodyBites = 5'],
    'r.toml: limits.bodyBites: error 7002: unknown key',
  ],
  ['an unknown section', [...settings, '[limit]'], 'r.toml: limit: error 7002: unknown key'],
  [
    'a wrong type',
    [...settings, '[limits]', "bodyBytes = '5'"],
    'r.toml: limits.bodyBytes: error 7002: Invalid input: expected number, received string',
  ],
  [
    'a value out of range',
    [...settings, '[limits]', 'bodyBytes = 0'],
    'r.toml: limits.bodyBytes: error 7002: Too small: expected number to be >=1',
  ],
  [
    'a missing key',
    settings.filter((line) => !line.startsWith('vm')),
    'r.toml: router.vm: error 7002: Invalid input: expected string, received undefined',
  ],
  [
    'a bad URL',
    settings.map((line) => line.replace('http://127.0.0.1:1', 'log')),
    'r.toml: log.url: error 7002: expected an http or https URL',
  ],
];

badSettings.forEach(([name, lines, problem]) => {
  test(`${name} in the settings is reported`, () => {
    expect(getProblems(lines)).toEqual([problem]);
  });
});

test('a syntax error in the settings is reported with its line', () => {
  expect(getProblems([...settings, 'x = ']).join()).toInclude('r.toml: line 10: error 7001');
});

const rules = [
  '# a comment of its own needs no name',
  'service chat type=engine models=m # Rosa',
  'budget b workspace=w # Rosa',
  'fund f budget=b tokens=5 # Rosa',
];

const badRules: [string, string, string][] = [
  ['no requester', 'budget c workspace=w', 'f:5: error 6001'],
  ['an empty comment', 'budget c workspace=w #  ', 'f:5: error 6001'],
  ['an unknown rule', 'bugdet c workspace=w # Rosa', "f:5: error 6002: unknown rule 'bugdet'"],
  ['no name', 'budget workspace=w # Rosa', 'f:5: error 6003'],
  ['a word that is no field', 'budget c workspace # Rosa', 'f:5: error 6004'],
  [
    'an unknown field',
    'budget c workspace=w horizn=5s # Rosa',
    "f:5: error 6005: 'budget' has no field 'horizn'",
  ],
  ['a missing field', 'budget c # Rosa', "f:5: error 6006: 'budget' needs the field 'workspace'"],
  ['a bad number', 'fund g budget=b tokens=-5 # Rosa', "f:5: error 6007: 'tokens=-5'"],
  ['a bad duration', 'budget c workspace=w horizon=5 # Rosa', "f:5: error 6007: 'horizon=5'"],
  ['a field twice', 'fund g budget=b tokens=5 tokens=5 # Rosa', 'f:5: error 6008'],
  [
    'a name twice',
    'fund f budget=b tokens=7 # Rosa',
    "f:5: error 6009: 'fund b f' is already defined by line 4",
  ],
  [
    'an unknown budget',
    'fund g budget=none tokens=5 # Rosa',
    "f:5: error 6010: no budget is named 'none'",
  ],
  [
    'an unknown service',
    'endpoint e service=none # Rosa',
    "f:5: error 6010: no service is named 'none'",
  ],
];

badRules.forEach(([name, line, start]) => {
  test(`${name} in the rules is reported with its line`, () => {
    const checked = checkRules([...rules, line]);
    expect(checked.err).toEqual(true);
    expect(checked.err && formatDiagnostic('f', checked.val[0]!).startsWith(start)).toEqual(true);
  });
});

test('all errors of a rules file are reported in the order of their lines', () => {
  const checked = checkRules(['budget b', ...rules, 'fund x budget=b']);
  expect(checked.err && checked.val.map(({ line }) => line)).toEqual([1, 6]);
});

test('valid rules are indexed', () => {
  const set = checkRules(rules).unwrap();
  expect([...set.servicesByModel.keys()]).toEqual(['m']);
  expect(set.funds.size).toEqual(1);
});

test('invalid arguments are reported with exit code 2', async () => {
  const results = await Promise.all([
    runCommand('nothing'),
    runCommand('rules', 'applie'),
    runCommand('audit'),
    runCommand('audit', '--log', 'here'),
    runCommand('config', 'check', '--config', '/none.toml'),
    runCommand('budgets', '--log', 'http://127.0.0.1:1', '--shards', '0'),
  ]);
  results.forEach(({ code, error }) => {
    expect(code).toEqual(2);
    expect(error).toInclude('error ');
  });
});

test('the help of each command lists its exit codes', async () => {
  const names = ['router', 'rules', 'budgets', 'audit', 'config'];
  const results = await Promise.all(names.map((name) => runCommand(name, '--help')));
  results.forEach(({ code, out }) => {
    expect(code).toEqual(0);
    expect(out).toInclude('Exit codes:');
  });
});

test('an unavailable log is reported with exit code 3', async () => {
  expect((await runCommand('audit', '--log', 'http://127.0.0.1:1')).code).toEqual(3);
});

test('incremental checks yield the same rules as checks of the full text', () => {
  const pool = [
    ...rules,
    'budget c workspace=w # Rosa',
    'fund g budget=c tokens=9 # Rosa',
    `key k workspace=w sha256=${'a'.repeat(64)} # Rosa`,
    'allow k budget=b service=chat # Rosa',
    'endpoint e-* service=chat # Rosa',
    'service other type=plain # Rosa',
    'nonsense # Rosa',
    '',
  ];
  const texts = fc.array(fc.uniqueArray(fc.constantFrom(...pool)), { minLength: 1, maxLength: 12 });
  fc.assert(
    fc.property(texts, (versions) => {
      const index = new IncrementalChecker();
      versions.forEach((lines) => {
        const incremental = index.update(lines);
        const full = checkRules(lines);
        expect(incremental.ok).toEqual(full.ok);
        if (incremental.ok && full.ok) {
          expect(getNames(incremental.val)).toEqual(getNames(full.val));
        }
      });
    }),
    { seed: 3, numRuns: 500 },
  );
});

function getNames(set: RuleSet): string[][] {
  return Object.values(set).map((map: ReadonlyMap<string, unknown>) => [...map.keys()].sort());
}
