#!/usr/bin/env node
/** The executable. */
import { runMain } from '../commands/main.js';

process.exitCode = await runMain(process.argv.slice(2), {
  out: (text) => process.stdout.write(`${text}\n`),
  error: (text) => process.stderr.write(`${text}\n`),
  isTerminal: process.stderr.isTTY === true,
});
