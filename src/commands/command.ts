/** Types and helpers shared by the commands. */
import { parseArgs, type ParseArgsConfig } from 'node:util';
import { createDeferred, getErrorMessage } from '../core/utilities.js';
import { exitCodes, type ExitCode } from './exitCodes.js';

/** The output streams of a command. */
export interface Output {
  readonly out: (text: string) => void;
  readonly error: (text: string) => void;
  /** Whether standard error is a terminal, so that progress may be shown. */
  readonly isTerminal: boolean;
}

/** A subcommand of the command line. */
export interface Command {
  readonly name: string;
  /** The help text. */
  readonly help: string;
  readonly run: (args: readonly string[], output: Output) => Promise<ExitCode>;
}

/** Parsed arguments of a command. */
export interface ParsedArguments {
  readonly positionals: readonly string[];
  readonly values: Readonly<Record<string, string | boolean | undefined>>;
}

/** An error in the arguments, reported with exit code 2. */
export class UsageError extends Error {}

/** Parses arguments; throws `UsageError` for an unknown option. */
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

/** Returns the value of a required option; throws `UsageError` if it is missing. */
export function getRequiredOption(values: ParsedArguments['values'], name: string): string {
  const value = values[name];
  if (typeof value !== 'string' || value === '') {
    throw new UsageError(`--${name} is missing`);
  }
  return value;
}

/** Resolves on the first SIGTERM or SIGINT. */
export function waitForStopSignal(): Promise<void> {
  const signalled = createDeferred<void>();
  (['SIGTERM', 'SIGINT'] as const).forEach((signal) => {
    process.once(signal, () => signalled.resolve());
  });
  return signalled.promise;
}

/** Prints the error of a log that could not be read and returns the exit code. */
export function reportUnavailable(output: Output, detail: string): ExitCode {
  output.error(`error 8001: ${detail}`);
  return exitCodes.unavailable;
}
