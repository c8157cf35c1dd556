/**
 * Runs the tests with Node's runner. A test listed in KNOWN-RED.txt is run by itself and printed, and
 * its failure is passed over; every other failure fails the run.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { getTreePath } from './processes.js';

const KNOWN_RED_FILE = getTreePath('KNOWN-RED.txt');
const CONCURRENCY = '4';

/** One entry of KNOWN-RED.txt: `TEST NAME | command and seed | what was seen | issue`. */
interface KnownRed {
  readonly name: string;
  readonly line: string;
}

function readKnownRed(): KnownRed[] {
  if (!existsSync(KNOWN_RED_FILE)) {
    return [];
  }
  return readFileSync(KNOWN_RED_FILE, 'utf8')
    .split('\n')
    .filter((line) => line.trim() !== '' && !line.startsWith('#'))
    .map((line) => ({ name: line.split('|')[0]!.trim(), line }));
}

function findTestFiles(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.test.js'))
    .map((entry) => join(entry.parentPath, entry.name))
    .sort();
}

function runTests(files: readonly string[], extra: readonly string[]): number {
  const args = ['--test', `--test-concurrency=${CONCURRENCY}`, ...extra, ...files];
  return spawnSync(process.execPath, args, { stdio: 'inherit' }).status ?? 1;
}

function escapePattern(text: string): string {
  return text.replace(/[.*+?^${}()|[\]\\/]/g, '\\$&');
}

const wanted = process.argv.slice(2);
const files = findTestFiles(getTreePath('dist/tests')).filter(
  (file) => wanted.length === 0 || wanted.some((part) => file.includes(part)),
);
const known = readKnownRed();
const skips = known.map(({ name }) => `--test-skip-pattern=/^${escapePattern(name)}$/`);
const status = runTests(files, skips);
known.forEach(({ name, line }) => {
  process.stdout.write(`known red: ${line}\n`);
  const result = runTests(files, [`--test-name-pattern=/^${escapePattern(name)}$/`]);
  process.stdout.write(`known red: ${name}: ${result === 0 ? 'PASSES NOW' : 'still fails'}\n`);
});
process.exitCode = status;
