/** Checkpoints: the state of a stream as of an offset, kept in the stream itself in parts. */
import { decode, encode } from '@msgpack/msgpack';
import type { Incarnation, Offset } from '../types/ids.js';
import type { CheckpointEntry } from '../types/records.js';

/** Largest part of a checkpoint, in bytes. */
export const CHECKPOINT_PART_BYTES = 256 * 1024;

/** What a checkpoint holds. */
export interface DecodedCheckpoint {
  readonly state: unknown;
  readonly duplicates: [Incarnation, number][];
}

/**
 * Splits a state into checkpoint entries.
 *
 * @example
 * createCheckpointEntries({ asOf, state: fold.save(), duplicates }).forEach(append);
 */
export function createCheckpointEntries(options: {
  readonly asOf: Offset;
  readonly state: unknown;
  readonly duplicates: unknown;
  readonly partBytes?: number;
}): CheckpointEntry[] {
  const { asOf, state, duplicates, partBytes = CHECKPOINT_PART_BYTES } = options;
  const data = encode([state, duplicates]);
  const parts = Math.max(1, Math.ceil(data.length / partBytes));
  return Array.from({ length: parts }, (_, part) => ({
    kind: 'checkpoint',
    asOf,
    part,
    parts,
    data: data.slice(part * partBytes, (part + 1) * partBytes),
  }));
}

/** Decodes what a checkpoint holds. */
export function decodeCheckpoint(data: Uint8Array): DecodedCheckpoint {
  const [state, duplicates] = decode(data) as [unknown, [Incarnation, number][]];
  return { state, duplicates };
}

/** Puts the parts of checkpoints together; parts of several writers may be mixed. */
export class CheckpointAssembler {
  private readonly partsByWriter = new Map<Incarnation, CheckpointEntry[]>();

  /** Adds a part; returns the whole data once the last part of a checkpoint came. */
  add(writer: Incarnation, part: CheckpointEntry): Uint8Array | undefined {
    const known = part.part === 0 ? [] : (this.partsByWriter.get(writer) ?? []);
    const [head] = known;
    const follows = known.length === part.part && (!head || head.asOf === part.asOf);
    if (!follows) {
      this.partsByWriter.delete(writer);
      return undefined;
    }
    known.push(part);
    this.partsByWriter.set(writer, known);
    if (known.length < part.parts) {
      return undefined;
    }
    this.partsByWriter.delete(writer);
    return Buffer.concat(known.map(({ data }) => data));
  }
}
