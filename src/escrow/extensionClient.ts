/** Asks witnesses to record that this process extends its claims, or whether its predecessor did. */
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

const WITNESSES_MAX = 5; // a majority remains while two of them are partitioned or dead
const CALL_TIMEOUT_MS = 120;

/** Returns the witnesses for a new record: some of the other holders, the same ones while they stay listed. */
export function chooseWitnesses(ledger: Ledger, vm: VmId): Witness[] {
  const others = [...ledger.holders.keys()].filter((holder) => holder !== vm);
  return getRendezvousOrder(vm, others)
    .slice(0, WITNESSES_MAX)
    .map((holder) => ({ vm: holder as VmId, run: ledger.holders.get(holder as VmId)!.run }));
}

/** The extensions of one process and of its predecessor. */
export class ExtensionClient {
  constructor(private readonly options: ExtensionClientOptions) {}

  /**
   * Returns whether a majority of each set of witnesses recorded the extension. A successor asks the witnesses of the
   * record that it finds, which may be the pending one.
   */
  async extend(
    witnessSets: readonly (readonly Witness[])[],
    run: Incarnation,
    sequence: number,
  ): Promise<boolean> {
    const { vm, part, client } = this.options;
    const acknowledged = new Set<string>();
    const distinctWitnesses = new Map(
      witnessSets.flat().map((witness) => [getWitnessKey(witness), witness]),
    );
    await Promise.allSettled(
      [...distinctWitnesses].map(async ([key, { vm: peer, run: witnessRun }]) => {
        const request = { holder: vm, part, run, sequence, witnessRun };
        const response = await client.call(peer, 'escrow.extend', request, CALL_TIMEOUT_MS);
        if (response.isWitness) {
          acknowledged.add(key);
        }
      }),
    );
    return witnessSets.every(
      (witnesses) =>
        witnesses.filter((witness) => acknowledged.has(getWitnessKey(witness))).length >=
        getMajority(witnesses.length),
    );
  }

  /**
   * Returns whether the predecessor certainly did not extend its claims: so many witnesses deny it that no majority can
   * have recorded the extension.
   */
  async isExtensionRuledOut({ witnesses, run, sequence }: HolderRecord): Promise<boolean> {
    const { vm, part, client } = this.options;
    let denials = 0;
    await Promise.allSettled(
      witnesses.map(async ({ vm: peer, run: witnessRun }) => {
        const query = { holder: vm, part, run, witnessRun };
        const response = await client.call(peer, 'escrow.extended', query, CALL_TIMEOUT_MS);
        denials += response.isWitness && response.sequence < sequence ? 1 : 0;
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
