/** Small helpers that depend on nothing else in the project. */
import { createHash } from 'node:crypto';

/** Fails to compile where a switch leaves a case out, and throws where one appears at run time. */
export function assertNever(value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`);
}

/**
 * Returns the value stored under a key, creating it first where there is none.
 *
 * @example
 * getOrCreate(new Map<string, string[]>(), 'a', () => []).push('b');
 */
export function getOrCreate<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  create: () => Value,
): Value {
  const known = map.get(key);
  if (known !== undefined) {
    return known;
  }
  const created = create();
  map.set(key, created);
  return created;
}

/** Returns the SHA-256 of texts and bytes, one after another, in hexadecimal. */
export function getSha256(...parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(part));
  return hash.digest('hex');
}

/** Returns a 32-bit hash that is cheap and spreads well enough for placement (FNV-1a with a final mix). */
export function getHash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Returns the candidates by rendezvous order for a key: each key has an order of its own, which
 * changes only in the places of members that come or go.
 *
 * @example
 * getRendezvousOrder('budgets-0', ['r1', 'r2', 'r3'])[0]; // the first choice for the key
 */
export function getRendezvousOrder(key: string, members: readonly string[]): string[] {
  const scored = members.map((member) => ({ member, score: getHash32(`${member}\n${key}`) }));
  scored.sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1));
  return scored.map(({ member }) => member);
}

/** Resolves after the event loop has read once more from every socket that has something to read. */
export function readPendingInput(): Promise<void> {
  // The first turn belongs to the round in progress, the second follows the next reading.
  return new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });
}

/** Returns the message of anything that was thrown. */
export function getErrorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** A promise together with the functions that end it. */
export interface Deferred<Value> {
  readonly promise: Promise<Value>;
  readonly resolve: (value: Value) => void;
  readonly reject: (error: Error) => void;
}

/** Creates a promise that is ended from outside. */
export function createDeferred<Value>(): Deferred<Value> {
  let resolve!: (value: Value) => void;
  let reject!: (error: Error) => void;
  const promise = new Promise<Value>((onResolve, onReject) => {
    resolve = onResolve;
    reject = onReject;
  });
  return { promise, resolve, reject };
}
