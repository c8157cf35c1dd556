/** Installs the packages of the lock file if they are missing or older than it. */
import { execFileSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';

const installed = 'node_modules/.package-lock.json';
const isCurrent =
  existsSync(installed) && statSync(installed).mtimeMs >= statSync('package-lock.json').mtimeMs;

if (!isCurrent) {
  execFileSync('npm', ['ci', '--no-audit', '--no-fund'], { stdio: ['ignore', 2, 2] });
}
