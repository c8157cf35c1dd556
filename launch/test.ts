/**
 * Runs the tests with Node's test runner. Failures of tests listed in KNOWN-RED.txt are printed and
 * ignored; any other failure fails the run.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { getRepositoryPath } from './processes.js';

const KNOWN_FAILURES_FILE = getRepositoryPath('KNOWN-RED.txt');
const CONCURRENCY = 4;
/** Tests that measure the memory of a process under load. They run one at a time, after the others. */
const SERIAL_FOLDER = '/tests/hostile/';
const OUTPUT_BYTES_MAX = 64 * 1024 * 1024;

/** One entry of KNOWN-RED.txt: `TEST NAME | command and seed | what was seen | issue`. */
interface KnownFailure {
  readonly name: string;
  readonly line: string;
}

function readKnownFailures(): KnownFailure[] {
  if (!existsSync(KNOWN_FAILURES_FILE)) {
    return [];
  }
  return readFileSync(KNOWN_FAILURES_FILE, 'utf8')
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

interface TestRun {
  readonly failedTests: readonly string[];
  readonly status: number;
}

/** Runs test files, prints their output and returns the names of failed tests. */
function runTests(files: readonly string[], concurrency: number): TestRun {
  if (files.length === 0) {
    return { failedTests: [], status: 0 };
  }
  const args = ['--test', `--test-concurrency=${concurrency}`, '--test-reporter=tap', ...files];
  const result = spawnSync(process.execPath, args, {
    stdio: ['ignore', 'pipe', 'inherit'],
    encoding: 'utf8',
    maxBuffer: OUTPUT_BYTES_MAX,
  });
  process.stdout.write(result.stdout);
  const lines = result.stdout.matchAll(/^\s*not ok \d+ - (.*)$/gm);
  return { failedTests: [...lines].map((match) => match[1]!), status: result.status ?? 1 };
}

const nameFilters = process.argv.slice(2);
const selectedFiles = findTestFiles(getRepositoryPath('dist/tests')).filter(
  (file) => nameFilters.length === 0 || nameFilters.some((part) => file.includes(part)),
);
const knownFailures = readKnownFailures();
const isSerial = (file: string) => file.includes(SERIAL_FOLDER);
const runs = [
  runTests(
    selectedFiles.filter((file) => !isSerial(file)),
    CONCURRENCY,
  ),
  runTests(selectedFiles.filter(isSerial), 1),
];
const failedTests = runs.flatMap((run) => run.failedTests);
const unexpectedFailures = failedTests.filter(
  (name) => !knownFailures.some((failure) => failure.name === name),
);
knownFailures.forEach(({ name, line }) => {
  const result = failedTests.includes(name) ? 'failed as listed' : 'did not fail';
  process.stdout.write(`known red, ${result}: ${line}\n`);
});
// A failed run that names no failed test has failed for another reason, which is never a known failure.
const isAccepted = (run: TestRun) =>
  run.status === 0 || (run.failedTests.length > 0 && unexpectedFailures.length === 0);
process.exitCode = runs.every(isAccepted) ? 0 : 1;
