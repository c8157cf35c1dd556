/**
 * The account of one holder as it stands in the store: its whole state in one record, so that the newest
 * record of each holder is all that anybody needs, however long the history is kept.
 */
import { decode, encode } from '@msgpack/msgpack';
import * as z from 'zod';
import type { Result } from '../core/results.js';
import { checkShape } from '../core/shapes.js';
import type { BudgetId, Incarnation, VmId } from '../types/ids.js';

/** What one holder says of one budget. Amounts are in tokens and count from the vm's first process on. */
export interface HolderBalance {
  /** The most that this vm's processes have spent or may still spend. */
  readonly claimed: number;
  /** The part of it that they may spend without asking witnesses; a successor may return the rest. */
  readonly activated: number;
  /** What they have certainly spent. */
  readonly settled: number;
  /** What ended processes of this vm may have spent beyond that; it does not come back. */
  readonly lost: number;
  /** What requests here lack and the budget could not give; 0 for none. */
  readonly shortfall: number;
  /** The prepaid total as of a version of the configuration. */
  readonly total: number;
  readonly totalVersion: number;
}

/** A process that remembers whether the holder opened all its claims. */
export interface Witness {
  readonly vm: VmId;
  readonly run: Incarnation;
}

/** The account of one vm. */
export interface HolderRecord {
  readonly run: Incarnation;
  /** Counts the records of one run, from 1. */
  readonly sequence: number;
  /** Where peers reach the holder, as HOST:PORT. */
  readonly address: string;
  /** Processor cores of the holder's vm; 0 where a record does not say. */
  readonly cores: number;
  readonly witnesses: readonly Witness[];
  readonly balances: ReadonlyMap<BudgetId, HolderBalance>;
}

const FORMAT_VERSION = 1;
const amount = z.int();
const balanceSchema = z.tuple([z.string(), amount, amount, amount, amount, amount, amount, amount]);
const recordSchema = z
  .tuple([
    z.literal(FORMAT_VERSION),
    z.string(),
    z.int().min(1),
    z.string(),
    z.array(z.tuple([z.string(), z.string()])),
    z.array(balanceSchema),
  ])
  // Processes of an earlier version state no cores.
  .rest(z.number().min(0));

/** Encodes a record. */
export function encodeHolderRecord(record: HolderRecord): Uint8Array {
  const { run, sequence, address, cores, witnesses, balances } = record;
  const rows = [...balances].map(([budget, balance]) => {
    const { claimed, activated, settled, lost, shortfall, total, totalVersion } = balance;
    return [budget, claimed, activated, settled, lost, shortfall, total, totalVersion];
  });
  return encode([
    FORMAT_VERSION,
    run,
    sequence,
    address,
    witnesses.map((witness) => [witness.vm, witness.run]),
    rows,
    cores,
  ]);
}

/** Decodes a record; an error says what is malformed. */
export function decodeHolderRecord(bytes: Uint8Array): Result<HolderRecord, string> {
  return checkShape(recordSchema, () => decode(bytes)).map(
    ([, run, sequence, address, pairs, rows, cores = 0]) => ({
      run: run as Incarnation,
      sequence,
      address,
      cores,
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
