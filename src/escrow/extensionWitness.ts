/**
 * What a process remembers for others: which of them opened all their claims while the store did not answer them.
 * A successor asks, and returns to the budget what its forerunner certainly never opened.
 */
import { getOrCreate } from '../core/utilities.js';
import type { Incarnation, VmId } from '../types/ids.js';
import type { ExtensionAnswer, ExtensionQuery, ExtensionRequest } from '../types/peers.js';

interface ExtensionEntry {
  /** The last record whose claims were opened, 0 for none. */
  sequence: number;
  /** Whether a successor has asked, so that the run is over. */
  isFenced: boolean;
}

/** The extensions that one run of a process has witnessed. */
export class ExtensionWitness {
  private readonly entries = new Map<string, ExtensionEntry>();

  constructor(private readonly run: Incarnation) {}

  /** Notes an extension; returns false where this process is not the witness that the holder means. */
  record(request: ExtensionRequest): ExtensionAnswer {
    const { holder, part, run, sequence, witnessRun } = request;
    const entry = this.getEntry(holder, part, run);
    if (witnessRun !== this.run || entry.isFenced) {
      return { isWitness: false, sequence: 0 };
    }
    entry.sequence = Math.max(entry.sequence, sequence);
    return { isWitness: true, sequence: entry.sequence };
  }

  /** Returns the last extension of a run that is over. */
  fence({ holder, part, run, witnessRun }: ExtensionQuery): ExtensionAnswer {
    const entry = this.getEntry(holder, part, run);
    entry.isFenced = true;
    return { isWitness: witnessRun === this.run, sequence: entry.sequence };
  }

  /** Runs are told apart: a late message of an earlier run must not hide what a later one did. */
  private getEntry(holder: VmId, part: number, run: Incarnation): ExtensionEntry {
    return getOrCreate(this.entries, `${part} ${holder} ${run}`, () => ({
      sequence: 0,
      isFenced: false,
    }));
  }
}
