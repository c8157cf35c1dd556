/**
 * Encodes the account records of one process. A balance that no reader would accept is not stored: the record then
 * repeats the one stored before, so that the other budgets' accounts go on and nothing is spent that no record claims.
 */
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { BudgetId } from '../types/ids.js';
import type { AccountChange } from './account.js';
import { encodeHolderRecord, type HolderRecord } from './holderRecord.js';
import type { LocalAccounts, PreparedChanges } from './localAccounts.js';

/** Options of an encoder. */
export interface RecordEncoderOptions {
  readonly accounts: LocalAccounts;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A record that readers accept. */
export interface EncodedRecord {
  readonly record: HolderRecord;
  readonly bytes: Uint8Array;
  /** The changes that the record makes. */
  readonly changes: ReadonlyMap<BudgetId, AccountChange>;
}

/** The encoder of one process's records. */
export class RecordEncoder {
  /** What was logged last; the same problem is met with every record, several times a second. */
  private loggedProblem = '';

  constructor(private readonly options: RecordEncoderOptions) {}

  /** Returns `undefined`, with all changes reverted, if no reader would accept even a record of stored balances. */
  encode(
    head: Omit<HolderRecord, 'balances'>,
    prepared: PreparedChanges,
  ): EncodedRecord | undefined {
    const { accounts, metrics } = this.options;
    const record = { ...head, balances: prepared.balances };
    const encoded = encodeHolderRecord(record);
    if (encoded.ok) {
      this.loggedProblem = '';
      return { record, bytes: encoded.val, changes: prepared.changes };
    }
    const reduced = accounts.revertUnstorable(prepared);
    metrics.unstorableRecords.inc({ kind: 'balance' }, reduced.reverted.length);
    this.logProblem(encoded.val, reduced.reverted);
    const reducedRecord = { ...head, balances: reduced.balances };
    const bytes = encodeHolderRecord(reducedRecord);
    if (bytes.ok) {
      return { record: reducedRecord, bytes: bytes.val, changes: reduced.changes };
    }
    metrics.unstorableRecords.inc({ kind: 'account' });
    accounts.revert(reduced.changes);
    return undefined;
  }

  private logProblem(detail: string, budgets: readonly BudgetId[]): void {
    const problem = budgets.join() || detail;
    if (problem !== this.loggedProblem) {
      this.loggedProblem = problem;
      this.options.logger.error('account record can not be stored: no reader would accept it', {
        detail,
        budgets,
      });
    }
  }
}
