/** Types and helpers shared by the commands. */
import { parseArgs, type ParseArgsConfig } from 'node:util';
import type { Logger } from '../core/logging.js';
import { getErrorMessage } from '../core/utilities.js';
import { exitCodes, type ExitCode } from './exitCodes.js';
import type { SignalController } from './signalController.js';

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
  readonly run: (
    args: readonly string[],
    output: Output,
    signals: SignalController,
  ) => Promise<ExitCode>;
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

/** A part of a process that runs until a signal requests its stop. */
export interface Service {
  readonly start: () => Promise<unknown>;
  readonly stop: () => Promise<void>;
  readonly logger: Logger;
}

/**
 * Runs a service until a signal requests its stop. Does not start it if one has already; a stop requested during the
 * start waits for its end. A service that could not start is stopped, since some of its listeners may accept.
 *
 * @example
 * await runService({ start: () => router.start(), stop: () => router.stop(), logger }, signals);
 */
export async function runService(
  { start, stop, logger }: Service,
  signals: SignalController,
): Promise<void> {
  signals.startLogging(logger);
  if (signals.getStopSignal() === undefined) {
    try {
      await start();
      await signals.waitForStopSignal();
    } finally {
      await stop();
    }
  }
  logger.info('process ending', { stopSignal: signals.getStopSignal() });
}

/** Prints the error of a log that could not be read and returns the exit code. */
export function reportUnavailable(output: Output, detail: string): ExitCode {
  output.error(`error 8001: ${detail}`);
  return exitCodes.unavailable;
}
