/** Reads a whole stream once, for commands that fold it offline. */
import { Err, Ok, type Result } from '../core/results.js';
import type { Offset, StreamName } from '../types/ids.js';
import type { Batch } from '../types/records.js';
import type { LogRecord, LogService } from '../types/platform.js';
import { decodeBatch } from '../log/codec.js';

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
