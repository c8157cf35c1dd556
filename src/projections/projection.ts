/** The base of every stream's state: a deterministic function of its records in log order. */
import type { Incarnation, Offset } from '../types/ids.js';
import type { Batch, Entry } from '../types/records.js';

/** Where an entry stands in its stream and who wrote it. */
export interface EntryContext {
  readonly offset: Offset;
  readonly incarnation: Incarnation;
}

/**
 * The state of one stream. Subclasses decide by the entries alone: no clock, no random numbers, no
 * input or output, so that every process that folds the same records has the same state.
 */
export abstract class Projection {
  /** Applies one entry. Entries that mean nothing to this stream are ignored. */
  abstract apply(entry: Entry, context: EntryContext): void;

  /** Returns the state as plain data for a checkpoint. */
  abstract save(): unknown;

  /** Replaces the state by what `save` returned. */
  abstract load(saved: unknown): void;
}

/** How many incarnations the duplicate filter remembers. */
const TRACKED_INCARNATIONS_MAX = 8_192;

/**
 * Drops records that an earlier append stored already. A process sends its batches one after another
 * and repeats one until its fate is known, so a sequence at or below the last one seen is a repeat.
 */
export class DuplicateFilter {
  private readonly lastSequences = new Map<Incarnation, number>();

  /** Returns whether the batch is new, and remembers it. */
  accept(batch: Batch): boolean {
    const known = this.lastSequences.get(batch.incarnation) ?? 0;
    if (batch.sequence <= known) {
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

  /** Returns the last sequence seen of an incarnation, 0 for none. */
  getLastSequence(incarnation: Incarnation): number {
    return this.lastSequences.get(incarnation) ?? 0;
  }

  /** Returns the filter's memory as plain data. */
  save(): [Incarnation, number][] {
    return [...this.lastSequences];
  }

  /** Replaces the filter's memory. */
  load(saved: readonly [Incarnation, number][]): void {
    this.lastSequences.clear();
    saved.forEach(([incarnation, sequence]) => this.lastSequences.set(incarnation, sequence));
  }
}
