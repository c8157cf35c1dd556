/** Reads a whole stream once, for commands that fold it offline. */
import { Err, Ok, type Result } from '../core/results.js';
import type { Offset, StreamName } from '../types/ids.js';
import type { Batch } from '../types/records.js';
import type { LogRecord, LogService } from '../types/platform.js';
import { DuplicateFilter, type Fold } from '../folds/fold.js';
import { CheckpointAssembler, loadCheckpoint } from './checkpoint.js';
import { decodeBatch } from './codec.js';

/** A batch with its place. */
export interface PlacedBatch {
  readonly offset: Offset;
  readonly batch: Batch;
}

/** A stream as far as the log keeps it. */
export interface StreamDump {
  readonly stream: StreamName;
  /** Above 0 where older records are gone. */
  readonly first: Offset;
  readonly batches: readonly PlacedBatch[];
  /** Offsets of records that could not be decoded. */
  readonly undecoded: readonly Offset[];
}

/** Reads every record of a stream that the log keeps. */
export async function readStream(
  log: LogService,
  stream: StreamName,
  onProgress: (records: number) => void = () => {},
): Promise<Result<StreamDump, string>> {
  const batches: PlacedBatch[] = [];
  const undecoded: Offset[] = [];
  let first = 0 as Offset;
  let next = first;
  for (;;) {
    // Pages follow one another.
    const page = await log.read(stream, next, 0);
    if (page.ok) {
      page.val.records.forEach((record) => placeRecord(record, batches, undecoded));
      next = ((page.val.records.at(-1)?.offset ?? next - 1) + 1) as Offset;
      onProgress(batches.length);
      if (next >= page.val.head) {
        return Ok({ stream, first, batches, undecoded });
      }
    } else if (page.val.kind === 'trimmed') {
      first = page.val.first;
      next = first;
    } else {
      return Err(page.val.kind === 'unavailable' ? page.val.detail : page.val.kind);
    }
  }
}

function placeRecord(
  { offset, data }: LogRecord,
  batches: PlacedBatch[],
  undecoded: Offset[],
): void {
  const batch = decodeBatch(data);
  if (batch) {
    batches.push({ offset, batch });
  } else {
    undecoded.push(offset);
  }
}

/** Where folding a dump starts: the records to fold and the filter for repeats among them. */
export interface ReplayStart {
  readonly duplicates: DuplicateFilter;
  readonly batches: readonly PlacedBatch[];
}

/**
 * Prepares a fold for the records of a dump: from the empty state where the log has them all, else from
 * the first checkpoint with every record after it. Returns `undefined` where there is none.
 */
export function startReplay(dump: StreamDump, fold: Fold): ReplayStart | undefined {
  const duplicates = new DuplicateFilter();
  if (dump.first === 0) {
    return { duplicates, batches: dump.batches };
  }
  const checkpoint = findCheckpoint(dump);
  if (!checkpoint) {
    return undefined;
  }
  const saved = loadCheckpoint(checkpoint.data);
  fold.load(saved.state);
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
