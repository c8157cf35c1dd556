import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { expect } from 'earl';
import { codes } from '../../src/core/codes.js';
import { diagnostics } from '../../src/rules/diagnostics.js';
import { getRepositoryPath } from '../../launch/processes.js';

// Prettier pads table columns with spaces.
const page = readFileSync(getRepositoryPath('docs/CODES.md'), 'utf8').replace(/ +/g, ' ');

test('docs/CODES.md lists each result code with its status, state and message', () => {
  Object.entries(codes).forEach(([name, { code, status, ran, message }]) => {
    expect(page).toInclude(`| ${code} | ${name} | ${status} | ${ran} | ${message} |`);
  });
});

test('docs/CODES.md lists each diagnostic of the rules', () => {
  Object.values(diagnostics).forEach(({ code, message }) => {
    expect(page).toInclude(`| ${code} | ${message} |`);
  });
});

test('result codes and diagnostic codes are unique', () => {
  const numbers = [...Object.values(codes), ...Object.values(diagnostics)].map(({ code }) => code);
  expect(new Set(numbers).size).toEqual(numbers.length);
});
