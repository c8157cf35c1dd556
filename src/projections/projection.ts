/** The base class of projections, each a deterministic function of a stream's records in log order. */
import type { Incarnation, Offset } from '../types/ids.js';
import type { Batch, Entry } from '../types/records.js';

/** The offset of the record that contains an entry, and the process that wrote the entry. */
export interface EntryContext {
  readonly offset: Offset;
  readonly incarnation: Incarnation;
}

/**
 * The state derived from one stream. Subclasses must be deterministic: no clock, no random numbers and no
 * I/O, so that all processes that apply the same records have the same state.
 */
export abstract class Projection {
  /** Applies one entry. Kinds of entries that the projection does not handle are ignored. */
  abstract apply(entry: Entry, context: EntryContext): void;

  /** Returns the state as plain, serializable data for a checkpoint. */
  abstract save(): unknown;

  /** Restores a state returned by `save`. */
  abstract load(saved: unknown): void;
}

/** The number of incarnations that the duplicate filter tracks. */
const TRACKED_INCARNATIONS_MAX = 8_192;

/**
 * Drops batches that were stored more than once. A process appends its batches in order and retries each
 * until its outcome is known, so a sequence at or below the last one seen is a duplicate.
 */
export class DuplicateFilter {
  private readonly lastSequences = new Map<Incarnation, number>();

  /** Records the batch and returns whether it is new. */
  accept(batch: Batch): boolean {
    const lastSequence = this.lastSequences.get(batch.incarnation) ?? 0;
    if (batch.sequence <= lastSequence) {
      return false;
    }
    this.lastSequences.delete(batch.incarnation);
    this.lastSequences.set(batch.incarnation, batch.sequence);
    if (this.lastSequences.size > TRACKED_INCARNATIONS_MAX) {
      const [oldest] = this.lastSequences.keys();
      this.lastSequences.delete(oldest!);
    }
    return true;
  }

  /** Returns the last sequence seen from an incarnation, or 0. */
  getLastSequence(incarnation: Incarnation): number {
    return this.lastSequences.get(incarnation) ?? 0;
  }

  /** Returns the last sequences as plain data for a checkpoint. */
  save(): [Incarnation, number][] {
    return [...this.lastSequences];
  }

  /** Restores data returned by `save`. */
  load(saved: readonly [Incarnation, number][]): void {
    this.lastSequences.clear();
    saved.forEach(([incarnation, sequence]) => this.lastSequences.set(incarnation, sequence));
  }
}
