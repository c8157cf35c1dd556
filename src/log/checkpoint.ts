/** Checkpoints: the state of a stream at an offset, stored in parts in the stream itself. */
import { decode, encode } from '@msgpack/msgpack';
import type { Incarnation, Offset } from '../types/ids.js';
import type { CheckpointEntry } from '../types/records.js';

/** Maximum size of one part of a checkpoint. */
export const CHECKPOINT_PART_BYTES = 256 * 1024;

/** The contents of a checkpoint. */
export interface DecodedCheckpoint {
  readonly state: unknown;
  readonly duplicates: [Incarnation, number][];
}

/**
 * Splits a state into checkpoint entries.
 *
 * @example
 * createCheckpointEntries({ asOf, state: projection.save(), duplicates }).forEach(append);
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

/** Decodes the assembled data of a checkpoint. */
export function decodeCheckpoint(data: Uint8Array): DecodedCheckpoint {
  const [state, duplicates] = decode(data) as [unknown, [Incarnation, number][]];
  return { state, duplicates };
}

/** Assembles checkpoints from their parts. Parts of several writers may be interleaved. */
export class CheckpointAssembler {
  private readonly partsByWriter = new Map<Incarnation, CheckpointEntry[]>();

  /** Adds a part. Returns the data of the checkpoint if this was its last part. */
  add(writer: Incarnation, part: CheckpointEntry): Uint8Array | undefined {
    const earlierParts = part.part === 0 ? [] : (this.partsByWriter.get(writer) ?? []);
    const [head] = earlierParts;
    const follows = earlierParts.length === part.part && (!head || head.asOf === part.asOf);
    if (!follows) {
      this.partsByWriter.delete(writer);
      return undefined;
    }
    earlierParts.push(part);
    this.partsByWriter.set(writer, earlierParts);
    if (earlierParts.length < part.parts) {
      return undefined;
    }
    this.partsByWriter.delete(writer);
    return Buffer.concat(earlierParts.map(({ data }) => data));
  }
}
