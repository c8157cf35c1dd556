/**
 * Records for other processes that they extended their claims (activated all of them) while the store did not respond.
 * A successor queries the witnesses and returns to the budget what its predecessor certainly never activated.
 */
import { getOrCreate } from '../core/utilities.js';
import type { Incarnation, VmId } from '../types/ids.js';
import type { ExtensionResponse, ExtensionQuery, ExtensionRequest } from '../types/peers.js';

interface ExtensionEntry {
  /** The sequence number of the last record whose claims were extended, 0 for none. */
  sequence: number;
  /** Whether a successor has queried this incarnation, which has therefore ended. */
  isFenced: boolean;
}

/** The extensions that one incarnation of a process has recorded for others. */
export class ExtensionWitness {
  private readonly entries = new Map<string, ExtensionEntry>();

  constructor(private readonly run: Incarnation) {}

  /** Records an extension, unless the holder named another incarnation as witness or a successor has queried. */
  record(request: ExtensionRequest): ExtensionResponse {
    const { holder, part, run, sequence, witnessRun } = request;
    const entry = this.getEntry(holder, part, run);
    if (witnessRun !== this.run || entry.isFenced) {
      return { isWitness: false, sequence: 0 };
    }
    entry.sequence = Math.max(entry.sequence, sequence);
    return { isWitness: true, sequence: entry.sequence };
  }

  /** Returns the last extension of an ended incarnation, and refuses later ones. */
  fence({ holder, part, run, witnessRun }: ExtensionQuery): ExtensionResponse {
    const entry = this.getEntry(holder, part, run);
    entry.isFenced = true;
    return { isWitness: witnessRun === this.run, sequence: entry.sequence };
  }

  /** Keeps incarnations apart: a late message of an earlier one must not hide extensions of a later one. */
  private getEntry(holder: VmId, part: number, run: Incarnation): ExtensionEntry {
    return getOrCreate(this.entries, `${part} ${holder} ${run}`, () => ({
      sequence: 0,
      isFenced: false,
    }));
  }
}
