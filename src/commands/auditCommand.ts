/** The `shallotrock audit` command. */
import { Err, Ok, type Result } from '../core/results.js';
import type { LogService } from '../types/platform.js';
import { auditLog, type AuditReport, type LogDump } from '../audit/auditLog.js';
import { getBudgetStream } from '../controllers/budgetController.js';
import { BILLS_STREAM, CLAIMS_STREAM, RULES_STREAM } from '../router.js';
import {
  parseCommandArgs,
  reportUnavailable,
  UsageError,
  type Command,
  type Output,
} from './command.js';
import { exitCodes, type ExitCode } from './exitCodes.js';
import { openLog } from './openLog.js';
import { readStream } from '../log/streamDump.js';

const help = `Usage: shallotrock audit --log URL [--shards N] [--json]

Reads the whole log and reports each promise as held or broken, with the records that show it. A
stream whose older records the log no longer keeps is named; it was audited in part.

Exit codes: 0 every promise held; 1 one is broken; 2 usage; 3 log out of reach
`;

/** Audits the log and prints whether each guarantee held. */
export const auditCommand: Command = {
  name: 'audit',
  help,
  run: runAudit,
};

async function runAudit(args: readonly string[], output: Output): Promise<ExitCode> {
  return withLogDump(args, output, (dump, isJson) => {
    const report = auditLog(dump);
    output.out(isJson ? JSON.stringify(report, undefined, 2) : formatReport(report));
    return report.promises.every(({ held }) => held) ? exitCodes.ok : exitCodes.failed;
  });
}

/** Reads all streams of the log given by `--log` and passes them to `use`, with the `--json` flag. */
export async function withLogDump(
  args: readonly string[],
  output: Output,
  use: (dump: LogDump, isJson: boolean) => ExitCode,
): Promise<ExitCode> {
  const { values } = parseCommandArgs(args, {
    log: { type: 'string' },
    shards: { type: 'string' },
    json: { type: 'boolean' },
  });
  const shards = parseShards(values.shards);
  const log = openLog(values);
  const dump = await readLog(log, shards, output);
  await log.close();
  return dump.ok ? use(dump.val, values.json === true) : reportUnavailable(output, dump.val);
}

/** Parses the `--shards` option: the number of budget streams. Default 1. */
function parseShards(value: string | boolean | undefined): number {
  const text = value ?? '1';
  if (typeof text !== 'string' || !/^[1-9]\d{0,3}$/.test(text)) {
    throw new UsageError(`--shards: expected a count, found '${String(value)}'`);
  }
  return Number(text);
}

/** Reads every stream of a log; reports progress if standard error is a terminal. */
async function readLog(
  log: LogService,
  shards: number,
  output: Output,
): Promise<Result<LogDump, string>> {
  const shardStreams = Array.from({ length: shards }, (_, shard) => getBudgetStream(shard));
  const names = [RULES_STREAM, CLAIMS_STREAM, BILLS_STREAM, ...shardStreams];
  const dumps = await Promise.all(
    names.map((name) =>
      readStream(log, name, (records) => {
        if (output.isTerminal) {
          output.error(`${name}: ${records} records`);
        }
      }),
    ),
  );
  const failed = dumps.find((dump) => dump.err);
  if (failed?.err) {
    return Err(failed.val);
  }
  const [rules, claims, bills, ...budgets] = dumps.map((dump) => dump.unwrap());
  return Ok({ rules: rules!, claims: claims!, bills: bills!, budgets });
}

function formatReport(report: AuditReport): string {
  const lines = report.promises.map(({ held, text }) => `${held ? 'held  ' : 'BROKEN'}  ${text}`);
  const findings = report.findings.map(
    ({ severity, stream, offset, detail }) =>
      `${severity}: ${stream}${offset < 0 ? '' : `@${offset}`}: ${detail}`,
  );
  const partial = report.partial.map((stream) => `partial: ${stream}: older records are gone`);
  const bills = `${report.bills} requests billed, ${report.billedTokens} tokens`;
  return [...lines, ...findings, ...partial, bills].join('\n');
}
