/** Orders the records of one holder without offsets, which are not comparable between eras of the store. */
import type { BudgetId } from '../types/ids.js';
import type { HolderBalance, HolderRecord } from './holderRecord.js';

/** What identifies a record among those of its holder. */
export type RecordIdentity = Pick<HolderRecord, 'run' | 'sequence' | 'generation'>;

/**
 * Returns whether a record is certainly older than another one of the same holder. Records of processes whose order is
 * unknown (written by versions without generations) are not older than each other.
 *
 * @example
 * isOlderRecord({ run, sequence: 4 }, { run, sequence: 5 }); // true
 */
export function isOlderRecord(record: RecordIdentity, other: RecordIdentity): boolean {
  if (record.run === other.run) {
    return record.sequence < other.sequence;
  }
  const { generation = 0 } = record;
  const { generation: otherGeneration = 0 } = other;
  return generation > 0 && generation < otherGeneration;
}

/** Returns whether a record was created with the knowledge of another one of the same holder, so that it replaces it. */
export function isReplacement(record: HolderRecord, other: HolderRecord): boolean {
  if (record.run === other.run) {
    return record.sequence >= other.sequence;
  }
  return (
    !isOlderRecord(record, other) &&
    [...other.balances].every(([budget, { activated, settled }]) => {
      const balance = record.balances.get(budget);
      // A successor takes over at least what its predecessor had activated.
      return (balance?.claimed ?? 0) >= activated && (balance?.settled ?? 0) >= settled;
    })
  );
}

/**
 * Returns a stored record with the amounts of a lost one added, where the process that created it did not know the lost
 * one. The sum counts what both inherited twice: too much is reserved until the holder's next record, never too little.
 */
export function addLostBalances(stored: HolderRecord, lost: HolderRecord): HolderRecord {
  const balances = new Map(stored.balances);
  lost.balances.forEach((balance, budget: BudgetId) => {
    const other = balances.get(budget);
    balances.set(budget, other ? addBalances(other, balance) : balance);
  });
  return { ...stored, balances };
}

function addBalances(stored: HolderBalance, lost: HolderBalance): HolderBalance {
  const newest = lost.totalVersion > stored.totalVersion ? lost : stored;
  return {
    ...stored,
    claimed: stored.claimed + lost.claimed,
    activated: stored.activated + lost.activated,
    settled: Math.max(stored.settled, lost.settled),
    lost: Math.max(stored.lost, lost.lost),
    total: newest.total,
    totalVersion: newest.totalVersion,
  };
}
