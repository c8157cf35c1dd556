/** Reads a complete stream once, for commands that process it offline. */
import { Err, Ok, type Result } from '../core/results.js';
import type { Offset, StreamName } from '../types/ids.js';
import type { Batch } from '../types/records.js';
import type { LogRecord, LogService } from '../types/platform.js';
import { DuplicateFilter, type Projection } from '../projections/projection.js';
import { CheckpointAssembler, decodeCheckpoint } from './checkpoint.js';
import { decodeBatch } from './codec.js';

/** A batch with the offset of its record. */
export interface BatchRecord {
  readonly offset: Offset;
  readonly batch: Batch;
}

/** The retained records of a stream. */
export interface StreamDump {
  readonly stream: StreamName;
  /** The offset of the first retained record; above 0 if older records were trimmed. */
  readonly first: Offset;
  readonly batches: readonly BatchRecord[];
  /** Offsets of records that could not be decoded. */
  readonly undecodableOffsets: readonly Offset[];
}

/** Reads all retained records of a stream. */
export async function readStream(
  log: LogService,
  stream: StreamName,
  onProgress: (records: number) => void = () => {},
): Promise<Result<StreamDump, string>> {
  const batches: BatchRecord[] = [];
  const undecodableOffsets: Offset[] = [];
  let first = 0 as Offset;
  let next = first;
  for (;;) {
    // Each page starts where the one before ended.
    const page = await log.read(stream, next, 0);
    if (page.ok) {
      page.val.records.forEach((record) => collectRecord(record, batches, undecodableOffsets));
      next = ((page.val.records.at(-1)?.offset ?? next - 1) + 1) as Offset;
      onProgress(batches.length);
      if (next >= page.val.head) {
        return Ok({ stream, first, batches, undecodableOffsets });
      }
    } else if (page.val.kind === 'trimmed') {
      first = page.val.first;
      next = first;
    } else {
      return Err(page.val.kind === 'unavailable' ? page.val.detail : page.val.kind);
    }
  }
}

function collectRecord(
  { offset, data }: LogRecord,
  batches: BatchRecord[],
  undecoded: Offset[],
): void {
  const batch = decodeBatch(data);
  if (batch) {
    batches.push({ offset, batch });
  } else {
    undecoded.push(offset);
  }
}

/** The records of a dump to apply to a projection, and the filter for duplicates among them. */
export interface ReplayStart {
  readonly duplicates: DuplicateFilter;
  readonly batches: readonly BatchRecord[];
}

/**
 * Prepares a projection for the records of a dump: from the empty state if no records were trimmed,
 * otherwise from the first checkpoint after which all records are retained. Returns `undefined` if there is
 * no such checkpoint.
 */
export function startReplay(dump: StreamDump, projection: Projection): ReplayStart | undefined {
  const duplicates = new DuplicateFilter();
  if (dump.first === 0) {
    return { duplicates, batches: dump.batches };
  }
  const checkpoint = findCheckpoint(dump);
  if (!checkpoint) {
    return undefined;
  }
  const saved = decodeCheckpoint(checkpoint.data);
  projection.load(saved.state);
  duplicates.load(saved.duplicates);
  const batches = dump.batches.filter(({ offset }) => offset >= checkpoint.asOf);
  return { duplicates, batches };
}

function findCheckpoint(dump: StreamDump): { data: Uint8Array; asOf: Offset } | undefined {
  const assembler = new CheckpointAssembler();
  const parts = dump.batches.flatMap(({ batch: { incarnation, entries } }) =>
    entries.flatMap((entry) => (entry.kind === 'checkpoint' ? [{ incarnation, entry }] : [])),
  );
  for (let index = 0; index < parts.length; index += 1) {
    const { incarnation, entry } = parts[index]!;
    const data = assembler.add(incarnation, entry);
    if (data && entry.asOf >= dump.first) {
      return { data, asOf: entry.asOf };
    }
  }
  return undefined;
}
