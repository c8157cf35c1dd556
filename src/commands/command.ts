/** What the commands share. */
import { parseArgs, type ParseArgsConfig } from 'node:util';
import { createDeferred, getErrorMessage } from '../core/utilities.js';
import { exitCodes, type ExitCode } from './exitCodes.js';

/** Where a command prints to. */
export interface Output {
  readonly out: (text: string) => void;
  readonly error: (text: string) => void;
  /** Whether a person watches, so that progress may be shown. */
  readonly isTerminal: boolean;
}

/** One command of the command line. */
export interface Command {
  readonly name: string;
  /** The whole help. */
  readonly help: string;
  readonly run: (args: readonly string[], output: Output) => Promise<ExitCode>;
}

/** Parsed arguments of a command. */
export interface ParsedArguments {
  readonly positionals: readonly string[];
  readonly values: Readonly<Record<string, string | boolean | undefined>>;
}

/** A wrong use of the command line. */
export class UsageError extends Error {}

/** Parses arguments strictly; unknown ones are a usage error. */
export function parseCommandArgs(
  args: readonly string[],
  options: NonNullable<ParseArgsConfig['options']>,
): ParsedArguments {
  try {
    const parsed = parseArgs({ args: [...args], options, allowPositionals: true, strict: true });
    return parsed as ParsedArguments;
  } catch (error) {
    throw new UsageError(getErrorMessage(error));
  }
}

/** Returns an option that must be there. */
export function getRequiredOption(values: ParsedArguments['values'], name: string): string {
  const value = values[name];
  if (typeof value !== 'string' || value === '') {
    throw new UsageError(`--${name} is missing`);
  }
  return value;
}

/** Resolves with the first signal that asks a daemon to stop. */
export function waitForStopSignal(): Promise<void> {
  const signalled = createDeferred<void>();
  (['SIGTERM', 'SIGINT'] as const).forEach((signal) => {
    process.once(signal, () => signalled.resolve());
  });
  return signalled.promise;
}

/** Prints that the log could not be read. */
export function reportUnavailable(output: Output, detail: string): ExitCode {
  output.error(`error 8001: ${detail}`);
  return exitCodes.unavailable;
}
