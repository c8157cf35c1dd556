/** Encodes batches as MessagePack: one array per entry, with the fields in the order of `FIELDS`. */
import { decode, encode } from '@msgpack/msgpack';
import type { Batch, Entry } from '../types/records.js';

type EntryOfKind<Kind extends Entry['kind']> = Extract<Entry, { kind: Kind }>;

type FieldTable = {
  readonly [Kind in Entry['kind']]: {
    readonly tag: number;
    readonly fields: readonly Exclude<keyof EntryOfKind<Kind>, 'kind'>[];
  };
};

/** The wire format of each entry. Tags and field orders never change; new fields are appended. */
const FIELDS: FieldTable = {
  fund: { tag: 1, fields: ['budget', 'fund', 'tokens', 'version'] },
  ask: { tag: 2, fields: ['budget', 'ask', 'need', 'want'] },
  cancel: { tag: 3, fields: ['budget', 'ask', 'holder'] },
  return: { tag: 4, fields: ['budget', 'tokens'] },
  report: { tag: 5, fields: ['budget', 'spent', 'sent', 'received', 'held'] },
  claim: { tag: 6, fields: ['key', 'request', 'digest'] },
  release: { tag: 7, fields: ['key', 'request'] },
  outcome: { tag: 8, fields: ['key', 'request', 'status', 'contentType', 'kept', 'body'] },
  bill: {
    tag: 9,
    fields: ['request', 'workspace', 'budget', 'promptTokens', 'completionTokens', 'outcome'],
  },
  edit: { tag: 10, fields: ['edit', 'base', 'author', 'changes', 'digest'] },
  checkpoint: { tag: 11, fields: ['asOf', 'part', 'parts', 'data'] },
};

const KIND_BY_TAG = new Map<number, Entry['kind']>(
  Object.entries(FIELDS).map(([kind, row]) => [row.tag, kind as Entry['kind']]),
);

/**
 * Encodes a batch as the data of one record.
 *
 * @example
 * decodeBatch(encodeBatch(batch)); // equals batch
 */
export function encodeBatch(batch: Batch): Uint8Array {
  const entries = batch.entries.map(encodeEntry);
  return encode([batch.incarnation, batch.sequence, entries]);
}

/**
 * Decodes the data of a record. Returns `undefined` if it is not a valid batch; drops entries with an
 * unknown tag.
 */
export function decodeBatch(data: Uint8Array): Batch | undefined {
  const decoded = tryDecode(data);
  if (!Array.isArray(decoded) || decoded.length !== 3 || !Array.isArray(decoded[2])) {
    return undefined;
  }
  const entries = decoded[2].map(decodeEntry);
  return { incarnation: decoded[0], sequence: decoded[1], entries: entries.filter(isKnown) };
}

function encodeEntry(entry: Entry): unknown[] {
  const { tag, fields } = FIELDS[entry.kind];
  const values = entry as unknown as Record<string, unknown>;
  return [tag, ...fields.map((field) => values[field])];
}

function decodeEntry(row: unknown[]): Entry | undefined {
  const kind = KIND_BY_TAG.get(row[0] as number);
  if (!kind) {
    return undefined;
  }
  const entry: Record<string, unknown> = { kind };
  FIELDS[kind].fields.forEach((field, index) => {
    entry[field] = row[index + 1];
  });
  return entry as unknown as Entry;
}

function isKnown(entry: Entry | undefined): entry is Entry {
  return entry !== undefined;
}

function tryDecode(data: Uint8Array): unknown {
  try {
    return decode(data);
  } catch {
    return undefined;
  }
}
