/**
 * What a process remembers for others: which of them opened all their claims while the store did not answer them.
 * A successor asks, and returns to the budget what its forerunner certainly never opened.
 */
import { getOrCreate } from '../core/utilities.js';
import type { Incarnation, VmId } from '../types/ids.js';
import type { ExtensionAnswer, ExtensionQuery, ExtensionRequest } from '../types/peers.js';

interface HolderExtensions {
  /** The last record whose claims were opened, 0 for none. */
  sequence: number;
  /** Whether a successor has asked, so that the run is over. */
  isEnded: boolean;
}

/** The extensions that one run of a process has witnessed. */
export class ExtensionWitness {
  private readonly holders = new Map<string, HolderExtensions>();

  constructor(private readonly run: Incarnation) {}

  /** Notes an extension; returns false where this process is not the witness that the holder means. */
  record(request: ExtensionRequest): ExtensionAnswer {
    const { holder, part, run, sequence, witnessRun } = request;
    const known = this.getExtensions(holder, part, run);
    if (witnessRun !== this.run || known.isEnded) {
      return { isWitness: false, sequence: 0 };
    }
    known.sequence = Math.max(known.sequence, sequence);
    return { isWitness: true, sequence: known.sequence };
  }

  /** Returns the last extension of a run that is over. */
  answer({ holder, part, run, witnessRun }: ExtensionQuery): ExtensionAnswer {
    const known = this.getExtensions(holder, part, run);
    known.isEnded = true;
    return { isWitness: witnessRun === this.run, sequence: known.sequence };
  }

  /** Runs are told apart: a late message of an earlier run must not hide what a later one did. */
  private getExtensions(holder: VmId, part: number, run: Incarnation): HolderExtensions {
    return getOrCreate(this.holders, `${part} ${holder} ${run}`, () => ({
      sequence: 0,
      isEnded: false,
    }));
  }
}
