/**
 * The stored account of one holder. Each record holds the complete state, so the newest record of each holder is
 * sufficient, whatever the retention of older ones.
 */
import { decode, encode } from '@msgpack/msgpack';
import * as z from 'zod';
import type { Result } from '../core/results.js';
import { checkShape, encodableText } from '../core/shapes.js';
import type { BudgetId, Era, Incarnation, VmId } from '../types/ids.js';

/** One holder's balance of one budget. Amounts are in tokens, summed over all processes of the vm so far. */
export interface HolderBalance {
  /** The most that this vm's processes have spent or may still spend. */
  readonly claimed: number;
  /** The part of `claimed` that they may spend without asking witnesses; a successor may return the rest. */
  readonly activated: number;
  /** What this vm's processes are known to have spent. */
  readonly settled: number;
  /** What ended processes of this vm may have spent beyond `settled`; the budget never gets it back. */
  readonly lost: number;
  /** What requests here need beyond the unclaimed tokens of the budget; 0 for none. */
  readonly shortfall: number;
  /** The prepaid total as of configuration version `totalVersion`. */
  readonly total: number;
  readonly totalVersion: number;
}

/** A process that records whether the holder extended its claims. */
export interface Witness {
  readonly vm: VmId;
  readonly run: Incarnation;
}

/** The account of one vm. */
export interface HolderRecord {
  readonly run: Incarnation;
  /** The number of the record within its incarnation, from 1. */
  readonly sequence: number;
  /** The holder's address for peers, as HOST:PORT. */
  readonly address: string;
  /** Processor cores of the holder's vm, 0 if unknown. */
  readonly cores: number;
  readonly witnesses: readonly Witness[];
  readonly balances: ReadonlyMap<BudgetId, HolderBalance>;
  /** The number of processes of this vm up to this one, which orders their records; 0 if unknown. Default 0. */
  readonly generation?: number;
  /** The era of the store that the holder knew when it created the record. Default 0. */
  readonly era?: Era;
}

const FORMAT_VERSION = 1;
/** The schema of readers and writers: a record that only its writer accepts hides what its holder has claimed. */
const amount = z.int();
const balanceSchema = z.tuple([
  encodableText,
  amount,
  amount,
  amount,
  amount,
  amount,
  amount,
  amount,
]);
const recordSchema = z
  .tuple([
    z.literal(FORMAT_VERSION),
    encodableText,
    z.int().min(1),
    encodableText,
    z.array(z.tuple([encodableText, encodableText])),
    z.array(balanceSchema),
  ])
  // The number of cores, the generation and the era, which records of earlier versions lack.
  .rest(z.number().min(0));

/** Encodes a record; returns an error if `decodeHolderRecord` would not accept the result. */
export function encodeHolderRecord(record: HolderRecord): Result<Uint8Array, string> {
  const { run, sequence, address, cores, witnesses, balances, generation = 0, era = 0 } = record;
  return checkShape(recordSchema, () => [
    FORMAT_VERSION,
    run,
    sequence,
    address,
    witnesses.map((witness) => [witness.vm, witness.run]),
    [...balances].map(([budget, balance]) => toRow(budget, balance)),
    cores,
    generation,
    era,
  ]).map((row) => encode(row));
}

/** Returns whether a record with this balance can be stored, as far as the balance matters. */
export function isStorableBalance(budget: BudgetId, balance: HolderBalance): boolean {
  return balanceSchema.safeParse(toRow(budget, balance)).success;
}

function toRow(budget: BudgetId, balance: HolderBalance): unknown[] {
  const { claimed, activated, settled, lost, shortfall, total, totalVersion } = balance;
  return [budget, claimed, activated, settled, lost, shortfall, total, totalVersion];
}

/** Decodes a record; returns an error that describes what is malformed. */
export function decodeHolderRecord(bytes: Uint8Array): Result<HolderRecord, string> {
  return checkShape(recordSchema, () => decode(bytes)).map(
    ([, run, sequence, address, pairs, rows, cores = 0, generation = 0, era = 0]) => ({
      run: run as Incarnation,
      sequence,
      address,
      cores,
      generation,
      era: era as Era,
      witnesses: pairs.map(([vm, witnessRun]) => ({
        vm: vm as VmId,
        run: witnessRun as Incarnation,
      })),
      balances: new Map(
        rows.map(([budget, claimed, activated, settled, lost, shortfall, total, totalVersion]) => [
          budget as BudgetId,
          { claimed, activated, settled, lost, shortfall, total, totalVersion },
        ]),
      ),
    }),
  );
}
