/** The command line: finds the command and turns errors into exit codes. */
import { readFileSync } from 'node:fs';
import { getErrorMessage } from '../core/utilities.js';
import { auditCommand } from './auditCommand.js';
import { budgetsCommand } from './budgetsCommand.js';
import { UsageError, type Command, type Output } from './command.js';
import { configCommand } from './configCommand.js';
import { exitCodes, type ExitCode } from './exitCodes.js';
import { routerCommand } from './routerCommand.js';
import { rulesCommand } from './rulesCommand.js';

const commands: readonly Command[] = [
  routerCommand,
  rulesCommand,
  budgetsCommand,
  auditCommand,
  configCommand,
];

const PACKAGE_FILE = new URL('../../../package.json', import.meta.url);

/**
 * Runs the command line and returns the exit code.
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
  const command = commands.find((candidate) => candidate.name === name);
  if (!command) {
    return printOverview(name, output);
  }
  if (rest.includes('--help') || rest.includes('-h')) {
    output.out(command.help);
    return exitCodes.ok;
  }
  return tryRun(command, rest, output);
}

async function tryRun(
  command: Command,
  args: readonly string[],
  output: Output,
): Promise<ExitCode> {
  try {
    return await command.run(args, output);
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
