/** Asks witnesses: to note that this process opens its claims, or whether a forerunner has. */
import type { Incarnation, VmId } from '../types/ids.js';
import type { PeerClient } from '../types/peers.js';
import { getRendezvousOrder } from '../core/utilities.js';
import type { HolderRecord, Witness } from './holderRecord.js';
import type { Ledger } from './ledger.js';

/** Options of the client. */
export interface ExtensionClientOptions {
  readonly client: PeerClient;
  readonly vm: VmId;
  readonly part: number;
}

const WITNESSES_MAX = 5; // a majority answers also while two of them are cut off or dead
const CALL_TIMEOUT_MS = 120;

/** Returns the witnesses that a new record names: some of the other holders, the same for as long as they live. */
export function chooseWitnesses(ledger: Ledger, vm: VmId): Witness[] {
  const others = [...ledger.holders.keys()].filter((holder) => holder !== vm);
  return getRendezvousOrder(vm, others)
    .slice(0, WITNESSES_MAX)
    .map((holder) => ({ vm: holder as VmId, run: ledger.holders.get(holder as VmId)!.run }));
}

/** One process's side of extensions. */
export class ExtensionClient {
  constructor(private readonly options: ExtensionClientOptions) {}

  /**
   * Returns whether a majority of the witnesses of each record noted the extension: a successor asks those of the
   * record that it finds, and one in doubt may be the one.
   */
  async extend(
    records: readonly (readonly Witness[])[],
    run: Incarnation,
    sequence: number,
  ): Promise<boolean> {
    const { vm, part, client } = this.options;
    const acknowledged = new Set<string>();
    const all = new Map(records.flat().map((witness) => [getWitnessKey(witness), witness]));
    await Promise.allSettled(
      [...all].map(async ([key, { vm: peer, run: witnessRun }]) => {
        const request = { holder: vm, part, run, sequence, witnessRun };
        const answer = await client.call(peer, 'escrow.extend', request, CALL_TIMEOUT_MS);
        if (answer.isWitness) {
          acknowledged.add(key);
        }
      }),
    );
    return records.every(
      (witnesses) =>
        witnesses.filter((witness) => acknowledged.has(getWitnessKey(witness))).length >=
        getMajority(witnesses.length),
    );
  }

  /**
   * Returns whether it is certain that the forerunner did not open its claims: so many witnesses deny it that no
   * majority can have noted it.
   */
  async isExtensionRuledOut({ witnesses, run, sequence }: HolderRecord): Promise<boolean> {
    const { vm, part, client } = this.options;
    let denials = 0;
    await Promise.allSettled(
      witnesses.map(async ({ vm: peer, run: witnessRun }) => {
        const query = { holder: vm, part, run, witnessRun };
        const answer = await client.call(peer, 'escrow.extended', query, CALL_TIMEOUT_MS);
        denials += answer.isWitness && answer.sequence < sequence ? 1 : 0;
      }),
    );
    return witnesses.length > 0 && witnesses.length - denials < getMajority(witnesses.length);
  }
}

function getWitnessKey({ vm, run }: Witness): string {
  return `${vm} ${run}`;
}

function getMajority(count: number): number {
  return Math.floor(count / 2) + 1;
}
