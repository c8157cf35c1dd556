/** The stored form of a poison pattern. */
import { decode, encode } from '@msgpack/msgpack';
import * as z from 'zod';
import type { Result } from '../core/results.js';
import { checkShape, encodableText } from '../core/shapes.js';
import type { Feature, PoisonPattern } from '../types/poison.js';

const FORMAT_VERSION = 1;
const recordSchema = z.tuple([z.literal(FORMAT_VERSION), z.array(encodableText).min(1)]);

/** Encodes a pattern; returns an error if `decodePattern` would not accept the result. */
export function encodePattern({ features }: PoisonPattern): Result<Uint8Array, string> {
  return checkShape(recordSchema, () => [FORMAT_VERSION, features]).map((row) => encode(row));
}

/** Decodes a pattern; returns an error that describes what is malformed. */
export function decodePattern(bytes: Uint8Array): Result<PoisonPattern, string> {
  return checkShape(recordSchema, () => decode(bytes)).map(([, features]) => ({
    features: (features as Feature[]).sort(),
  }));
}
