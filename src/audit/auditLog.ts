/** Audits all streams of a log. */
import type { StreamDump } from '../log/streamDump.js';
import { auditBilledTotals, auditBudgetStream } from './auditBudgets.js';
import { auditBills, auditClaims, auditRules } from './auditCalls.js';
import { guaranteeDescriptions, type Guarantee, type Finding } from './finding.js';

/** The contents of all streams of a log. */
export interface LogDump {
  readonly rules: StreamDump;
  readonly budgets: readonly StreamDump[];
  readonly claims: StreamDump;
  readonly bills: StreamDump;
}

/** The audit result for each guarantee, with the findings. */
export interface AuditReport {
  readonly promises: readonly {
    readonly promise: Guarantee;
    readonly text: string;
    readonly held: boolean;
  }[];
  readonly findings: readonly Finding[];
  readonly bills: number;
  readonly billedTokens: number;
  /** Streams whose oldest records were trimmed, so that the audit covers only a part. */
  readonly partial: readonly string[];
}

/**
 * Replays every stream and reports which guarantees held.
 *
 * @example
 * const report = auditLog(dump);
 * const isClean = report.promises.every(({ held }) => held);
 */
export function auditLog(dump: LogDump): AuditReport {
  const budgets = dump.budgets.map(auditBudgetStream);
  const bills = auditBills(dump.bills);
  const projections = budgets.map(({ projection }) => projection);
  const isEveryStreamComplete = budgets.every(({ isComplete }) => isComplete);
  const findings = [
    ...budgets.flatMap((budget) => budget.findings),
    ...auditBilledTotals(projections, bills.projection.bills.values(), isEveryStreamComplete),
    ...bills.findings,
    ...auditClaims(dump.claims),
    ...auditRules(dump.rules).findings,
  ];
  const guarantees = Object.keys(guaranteeDescriptions) as Guarantee[];
  const streams = [dump.rules, ...dump.budgets, dump.claims, dump.bills];
  let billedTokens = 0;
  bills.projection.bills.forEach(({ entry }) => {
    billedTokens += entry.promptTokens + entry.completionTokens;
  });
  return {
    promises: guarantees.map((promise) => ({
      promise,
      text: guaranteeDescriptions[promise],
      held: !findings.some(
        (finding) => finding.promise === promise && finding.severity === 'broken',
      ),
    })),
    findings,
    bills: bills.projection.bills.size,
    billedTokens,
    partial: streams.filter(({ first }) => first > 0).map(({ stream }) => stream),
  };
}
