/** The stored record of the streams that one process began. */
import { decode, encode } from '@msgpack/msgpack';
import * as z from 'zod';
import { checkShape } from '../../core/shapes.js';
import type { Result } from '../../core/results.js';
import { brandId, type Era, type ServiceName, type SoftwareVersion } from '../../types/ids.js';
import { STREAM_KEY_BYTES, type StreamKey } from './streamKey.js';
import type { SeenVersion } from './versionHistory.js';

/** The streams of one service that began at one version. A version that was only seen has none. */
export interface VersionStreams {
  readonly service: ServiceName;
  readonly version: SeenVersion;
  /** The keys of the streams, one after another. */
  readonly keys: Buffer;
}

/** The record of one process. */
export interface StreamRecord {
  /** The era of the store that the process knew when it wrote. */
  readonly era: Era;
  readonly rows: readonly VersionStreams[];
}

const FORMAT_VERSION = 1;
const keysSchema = z
  .instanceof(Uint8Array)
  .refine(({ length }) => length % STREAM_KEY_BYTES === 0, 'length of the keys');
/** The name of the service, the version or `null` for one that can't be used, and the keys one after another. */
const rowSchema = z.tuple([z.string(), z.string().nullable(), keysSchema]);
const recordSchema = z.tuple([z.literal(FORMAT_VERSION), z.int().min(0), z.array(rowSchema)]);

/**
 * Encodes a record. Throws if the result could not be decoded.
 *
 * @example
 * encodeStreamRecord({ era, rows: [{ service, version, keys: joinKeys([getStreamKey(workspace, callId)]) }] });
 */
export function encodeStreamRecord({ era, rows }: StreamRecord): Uint8Array {
  const record: z.input<typeof recordSchema> = [
    FORMAT_VERSION,
    era,
    rows.map(({ service, version, keys }) => [service, version ?? null, new Uint8Array(keys)]),
  ];
  return encode(recordSchema.parse(record));
}

/** Decodes a record; returns an error that describes what is malformed. */
export function decodeStreamRecord(bytes: Uint8Array): Result<StreamRecord, string> {
  return checkShape(recordSchema, () => decode(bytes)).map(([, era, rows]) => ({
    era: brandId<Era>(era),
    rows: rows.map(([service, version, keys]) => ({
      service: brandId<ServiceName>(service),
      version: version === null ? undefined : brandId<SoftwareVersion>(version),
      keys: Buffer.from(keys),
    })),
  }));
}

/** Joins the keys of streams. */
export function joinKeys(streams: readonly StreamKey[]): Buffer {
  return Buffer.from(streams.join(''), 'latin1');
}

/**
 * Returns whether joined keys contain the key of a stream. Keys are searched where they are, since an object for each
 * stream of a large fleet needs more memory than a process has.
 */
export function hasKey(keys: Buffer, stream: StreamKey): boolean {
  const bytes = Buffer.from(stream, 'latin1');
  let position = keys.indexOf(bytes);
  while (position >= 0 && position % STREAM_KEY_BYTES !== 0) {
    position = keys.indexOf(bytes, position + 1);
  }
  return position >= 0;
}
