/** The `shallotrock config check` command. */
import { stringify } from 'smol-toml';
import { formatSettingsProblem, readSettings } from '../core/settings.js';
import {
  getRequiredOption,
  parseCommandArgs,
  UsageError,
  type Command,
  type Output,
} from './command.js';
import { exitCodes, type ExitCode } from './exitCodes.js';

const help = `Usage: shallotrock config check --config FILE [--print]

Checks a settings file. --print shows the settings in effect, defaults included; the shared key is
left out.

Exit codes: 0 good; 2 an error in the file
`;

/** Checks a settings file. */
export const configCommand: Command = {
  name: 'config',
  help,
  run: runConfig,
};

async function runConfig(args: readonly string[], output: Output): Promise<ExitCode> {
  const { positionals, values } = parseCommandArgs(args, {
    config: { type: 'string' },
    print: { type: 'boolean' },
  });
  if (positionals[0] !== 'check') {
    throw new UsageError(`unknown action '${positionals[0] ?? ''}'; expected check`);
  }
  const settings = readSettings(getRequiredOption(values, 'config'));
  if (settings.err) {
    settings.val.forEach((problem) => output.error(formatSettingsProblem(problem)));
    return exitCodes.usage;
  }
  if (values.print) {
    const { peers, ...rest } = settings.val;
    output.out(stringify({ ...rest, peers: { ...peers, sharedKey: '(hidden)' } }));
  }
  return exitCodes.ok;
}
