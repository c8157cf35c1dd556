/** Command-line entry point: dispatches to a command and maps errors to exit codes. */
import { readFileSync } from 'node:fs';
import { getErrorMessage } from '../core/utilities.js';
import { UsageError, type Command, type Output } from './command.js';
import { exitCodes, type ExitCode } from './exitCodes.js';
import { SignalController } from './signalController.js';

/** A command, loaded on demand so that a gateway starts without the modules of the other commands. */
interface CommandEntry {
  readonly name: string;
  /** The one-line description in the list of commands. */
  readonly summary: string;
  /** Whether it runs until a signal requests its stop. Default false: a signal ends the process at once. */
  readonly isService?: boolean;
  readonly load: () => Promise<Command>;
}

const commands: readonly CommandEntry[] = [
  {
    name: 'gateway',
    summary: 'run a gateway on the platform',
    isService: true,
    load: async () => (await import('./gatewayCommand.js')).gatewayCommand,
  },
  {
    name: 'router',
    summary: 'run a router',
    isService: true,
    load: async () => (await import('./routerCommand.js')).routerCommand,
  },
  {
    name: 'rules',
    summary: 'check, show, compare and publish the rules',
    load: async () => (await import('./rulesCommand.js')).rulesCommand,
  },
  {
    name: 'budgets',
    summary: 'show the budgets',
    load: async () => (await import('./budgetsCommand.js')).budgetsCommand,
  },
  {
    name: 'audit',
    summary: 'check the promises against the log',
    load: async () => (await import('./auditCommand.js')).auditCommand,
  },
  {
    name: 'config',
    summary: 'check a settings file',
    load: async () => (await import('./configCommand.js')).configCommand,
  },
];

const PACKAGE_FILE = new URL('../../../package.json', import.meta.url);

/**
 * Runs the command given by the arguments and returns the exit code.
 *
 * @example
 * process.exitCode = await runMain(process.argv.slice(2), output);
 */
export async function runMain(args: readonly string[], output: Output): Promise<ExitCode> {
  const [name, ...rest] = args;
  if (args.includes('--version')) {
    output.out(JSON.parse(readFileSync(PACKAGE_FILE, 'utf8')).version);
    return exitCodes.ok;
  }
  const entry = commands.find((candidate) => candidate.name === name);
  if (!entry) {
    return printOverview(name, output);
  }
  const signals = new SignalController();
  if (entry.isService) {
    // Before the modules load, which takes longer than the rest of the start.
    signals.listen();
  }
  const command = await entry.load();
  if (rest.includes('--help') || rest.includes('-h')) {
    output.out(command.help);
    return exitCodes.ok;
  }
  return tryRun(command, rest, output, signals);
}

async function tryRun(
  command: Command,
  args: readonly string[],
  output: Output,
  signals: SignalController,
): Promise<ExitCode> {
  try {
    return await command.run(args, output, signals);
  } catch (error) {
    if (error instanceof UsageError) {
      output.error(`error 8002: ${error.message}`);
      output.error(`see 'shallotrock ${command.name} --help'`);
      return exitCodes.usage;
    }
    output.error(`error 9001: ${getErrorMessage(error)}`);
    return exitCodes.unavailable;
  }
}

function printOverview(name: string | undefined, output: Output): ExitCode {
  const list = commands.map((command) => `  ${command.name.padEnd(10)}${command.summary}`);
  const text = [
    'Usage: shallotrock COMMAND [options]',
    '',
    ...list,
    '',
    "Each command has its own --help; '--version' prints the version.",
  ].join('\n');
  if (name === '--help' || name === '-h') {
    output.out(text);
    return exitCodes.ok;
  }
  output.error(name === undefined ? text : `error 8002: unknown command '${name}'\n${text}`);
  return exitCodes.usage;
}
