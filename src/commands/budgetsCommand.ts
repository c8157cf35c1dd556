/** The `shallotrock budgets` command. */
import type { Incarnation } from '../types/ids.js';
import { auditBudgetStream } from '../audit/auditBudgets.js';
import { auditRules } from '../audit/auditCalls.js';
import { getUnaccountedTokens, type Account } from '../projections/budgetProjection.js';
import { checkRules } from '../rules/checker.js';
import { withLogDump } from './auditCommand.js';
import type { Command, Output } from './command.js';
import { exitCodes, type ExitCode } from './exitCodes.js';

const help = `Usage: shallotrock budgets --log URL [--shards N] [--json]

Prints each budget by workspace and router, in tokens:
  funded    paid in
  granted   given to routers and not returned
  held      set aside for requests in flight, as last reported
  spent     as last reported
  doubt     granted to a run of a router that was followed by another run, and not accounted for
  free      not granted

Exit codes: 0 done; 2 usage; 3 log out of reach
`;

/** Prints the budgets by workspace and router. */
export const budgetsCommand: Command = {
  name: 'budgets',
  help,
  run: runBudgets,
};

/** One row of the table: the total of a budget, or the share of one router. */
interface BudgetRow {
  readonly workspace: string;
  readonly budget: string;
  readonly router: string;
  readonly funded: number;
  readonly granted: number;
  readonly held: number;
  readonly spent: number;
  readonly doubt: number;
  readonly free: number;
}

async function runBudgets(args: readonly string[], output: Output): Promise<ExitCode> {
  return withLogDump(args, output, (dump, isJson) => {
    const rules = checkRules(auditRules(dump.rules).projection.lines);
    const rows = dump.budgets.flatMap((stream) =>
      [...auditBudgetStream(stream).projection.accounts].flatMap(([budget, account]) => {
        const rule = rules.ok ? rules.val.budgets.get(budget) : undefined;
        return createRows(rule?.workspace ?? '?', budget, account);
      }),
    );
    output.out(isJson ? JSON.stringify(rows, undefined, 2) : formatRows(rows));
    return exitCodes.ok;
  });
}

function createRows(workspace: string, budget: string, account: Account): BudgetRow[] {
  const latest = getLatestIncarnations(account);
  const routers = [...account.holders].map(([router, holder]): BudgetRow => {
    const isLatest = latest.has(router);
    return {
      workspace,
      budget,
      router,
      funded: 0,
      granted: holder.granted - holder.returned,
      held: isLatest ? holder.held : 0,
      spent: holder.spent,
      doubt: isLatest ? 0 : getUnaccountedTokens(holder),
      free: 0,
    };
  });
  const sum = (field: 'held' | 'spent' | 'doubt') =>
    routers.reduce((total, row) => total + row[field], 0);
  const total: BudgetRow = {
    workspace,
    budget,
    router: '(all)',
    funded: account.funded,
    granted: account.outstanding,
    held: sum('held'),
    spent: sum('spent'),
    doubt: sum('doubt'),
    free: account.funded - account.outstanding,
  };
  return [total, ...routers];
}

/** Returns the latest incarnation of each router that has held tokens of the budget. */
function getLatestIncarnations(account: Account): Set<Incarnation> {
  const latest = new Map<string, Incarnation>();
  [...account.holders.keys()].forEach((incarnation) =>
    latest.set(incarnation.replace(/-[^-]*$/, ''), incarnation),
  );
  return new Set(latest.values());
}

function formatRows(rows: readonly BudgetRow[]): string {
  const columns = [
    'workspace',
    'budget',
    'router',
    'funded',
    'granted',
    'held',
    'spent',
    'doubt',
    'free',
  ] as const;
  const table = [
    columns.map(String),
    ...rows.map((row) => columns.map((name) => String(row[name]))),
  ];
  const widths = columns.map((_, index) => Math.max(...table.map((line) => line[index]!.length)));
  return table
    .map((line) =>
      line
        .map((cell, index) => cell.padEnd(widths[index]!))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
