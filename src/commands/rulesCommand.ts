/** The `shallotrock rules` command: check, diff, apply and show. */
import { readFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import { createPatch } from 'diff';
import type { RulesVersion } from '../types/ids.js';
import { SystemTimers } from '../core/timers.js';
import { getErrorMessage } from '../core/utilities.js';
import { getRulesDigest, type RulesProjection } from '../projections/rulesProjection.js';
import { RULES_STREAM } from '../router.js';
import { checkRules } from '../rules/checker.js';
import { formatDiagnostic } from '../rules/diagnostics.js';
import { createEdit, splitRulesText, RulesSession } from '../rules/editor.js';
import {
  getRequiredOption,
  parseCommandArgs,
  reportUnavailable,
  UsageError,
  type ParsedArguments,
  type Command,
  type Output,
} from './command.js';
import { exitCodes, type ExitCode } from './exitCodes.js';
import { openLog } from './openLog.js';

const help = `Usage: shallotrock rules ACTION [FILE] [options]

Actions:
  check FILE   check a rules file; prints FILE:LINE: error CODE: MESSAGE
  show         print the accepted rules
  diff FILE    print what applying the file would change
  apply FILE   publish the file as an edit of the version it was made from

Options:
  --log URL      the log service (not for check)
  --base N       for apply: the version that the edit was made from; default: the one in force
  --author NAME  for apply: who publishes; default: the user's name
  --version-only for show: print only the version

Exit codes: 0 done; 1 errors in the file, or another edit won; 2 usage; 3 log out of reach
`;

/** Checks, shows, compares and publishes the rules. */
export const rulesCommand: Command = {
  name: 'rules',
  help,
  run: runRules,
};

async function runRules(args: readonly string[], output: Output): Promise<ExitCode> {
  const parsed = parseCommandArgs(args, {
    log: { type: 'string' },
    base: { type: 'string' },
    author: { type: 'string' },
    'version-only': { type: 'boolean' },
  });
  const [action, file] = parsed.positionals;
  switch (action) {
    case 'check':
      return readValidRules(file, output) ? exitCodes.ok : exitCodes.failed;
    case 'show':
      return withAcceptedRules(parsed, output, async (head) => showRules(parsed, head, output));
    case 'diff':
      return withAcceptedRulesAndFile(parsed, file, output, async (head, lines) =>
        showDiff(head, lines, output),
      );
    case 'apply':
      return withAcceptedRulesAndFile(parsed, file, output, (head, lines, session) =>
        applyRules({ parsed, head, lines, session, output }),
      );
    default:
      throw new UsageError(`unknown action '${action ?? ''}'; expected check, show, diff or apply`);
  }
}

/** Reads a rules file and returns its lines, or prints the diagnostics and returns `undefined`. */
function readValidRules(file: string | undefined, output: Output): string[] | undefined {
  if (!file) {
    throw new UsageError('FILE is missing');
  }
  const lines = splitRulesText(readText(file));
  const checked = checkRules(lines);
  if (checked.err) {
    checked.val.forEach((problem) => output.error(formatDiagnostic(file, problem)));
    return undefined;
  }
  return lines;
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new UsageError(getErrorMessage(error));
  }
}

async function withAcceptedRules(
  { values }: ParsedArguments,
  output: Output,
  use: (head: RulesProjection, session: RulesSession) => Promise<ExitCode>,
): Promise<ExitCode> {
  const log = openLog(values);
  const session = new RulesSession({ log, timers: new SystemTimers(), stream: RULES_STREAM });
  try {
    const head = await session.getHead();
    if (!head) {
      return reportUnavailable(output, 'the rules could not be read from the log');
    }
    return await use(head, session);
  } finally {
    session.close();
    await log.close();
  }
}

async function withAcceptedRulesAndFile(
  parsed: ParsedArguments,
  file: string | undefined,
  output: Output,
  use: (head: RulesProjection, lines: string[], session: RulesSession) => Promise<ExitCode>,
): Promise<ExitCode> {
  const lines = readValidRules(file, output);
  if (!lines) {
    return exitCodes.failed;
  }
  return withAcceptedRules(parsed, output, (head, session) => use(head, lines, session));
}

function showRules({ values }: ParsedArguments, head: RulesProjection, output: Output): ExitCode {
  output.out(values['version-only'] ? String(head.version) : head.lines.join('\n'));
  return exitCodes.ok;
}

function showDiff(head: RulesProjection, lines: readonly string[], output: Output): ExitCode {
  const before = `${head.lines.join('\n')}\n`;
  const after = `${lines.join('\n')}\n`;
  output.out(createPatch('rules', before, after, `version ${head.version}`, 'file'));
  return exitCodes.ok;
}

interface ApplyOptions {
  readonly parsed: ParsedArguments;
  readonly head: RulesProjection;
  readonly lines: readonly string[];
  readonly session: RulesSession;
  readonly output: Output;
}

async function applyRules(options: ApplyOptions): Promise<ExitCode> {
  const { parsed, head, lines, session, output } = options;
  if (getRulesDigest(head.lines) === getRulesDigest(lines)) {
    output.out(`already in force as version ${head.version}`);
    return exitCodes.ok;
  }
  const base = getBaseVersion(parsed, head);
  if (base !== head.version) {
    output.error(`error 8003: version ${head.version} is in force, the edit was made from ${base}`);
    printAcceptedEdit(head, output);
    return exitCodes.failed;
  }
  const author = String(parsed.values.author ?? userInfo().username);
  const edit = createEdit({ base, before: head.lines, after: lines, author });
  const decided = await session.publish(edit);
  if (!decided) {
    return reportUnavailable(output, 'the fate of the edit is unknown; look with rules show');
  }
  if (!decided.accepted) {
    output.error(`error 8003: another edit was accepted first, as version ${decided.version}`);
    printAcceptedEdit(head, output);
    return exitCodes.failed;
  }
  output.out(`accepted as version ${decided.version}`);
  return exitCodes.ok;
}

function getBaseVersion({ values }: ParsedArguments, head: RulesProjection): RulesVersion {
  if (values.base === undefined) {
    return head.version;
  }
  const base = getRequiredOption(values, 'base');
  if (!/^\d{1,9}$/.test(base)) {
    throw new UsageError(`--base: expected a version, found '${base}'`);
  }
  return Number(base) as RulesVersion;
}

function printAcceptedEdit(head: RulesProjection, output: Output): void {
  const acceptedEdit = [...head.decidedEdits.values()].filter(({ accepted }) => accepted).at(-1);
  if (acceptedEdit) {
    const { author, changes } = acceptedEdit.entry;
    const inserted = changes.flatMap(({ insert }) => insert);
    output.error(`in force: version ${acceptedEdit.version} by ${author}`);
    inserted.slice(0, 10).forEach((line) => output.error(`  + ${line}`));
  }
}
