/** Utilities that depend on no other module of the project. */
import { createHash } from 'node:crypto';

/** Makes an incomplete switch a compile error; throws if an unexpected value occurs at run time. */
export function assertNever(value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`);
}

/** A `Map` or a `WeakMap`. */
interface MutableLookup<Key, Value> {
  get(key: Key): Value | undefined;
  set(key: Key, value: Value): unknown;
}

/**
 * Returns the value stored under a key; creates it if there is none.
 *
 * @example
 * getOrCreate(new Map<string, string[]>(), 'a', () => []).push('b');
 */
export function getOrCreate<Key, Value>(
  map: MutableLookup<Key, Value>,
  key: Key,
  create: () => Value,
): Value {
  const existing = map.get(key);
  if (existing !== undefined) {
    return existing;
  }
  const created = create();
  map.set(key, created);
  return created;
}

/** Returns the SHA-256 of the concatenated parts, in hexadecimal. */
export function getSha256(...parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(part));
  return hash.digest('hex');
}

/** Returns a cheap 32-bit hash, distributed well enough for placement: FNV-1a with the finalizer of MurmurHash3. */
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
 * Returns the members in the order of rendezvous hashing for a key. When members are added or removed,
 * the relative order of the others does not change.
 *
 * @example
 * getRendezvousOrder('budgets-0', ['r1', 'r2', 'r3'])[0]; // the first choice for the key
 */
export function getRendezvousOrder(key: string, members: readonly string[]): string[] {
  const scored = members.map((member) => ({ member, score: getHash32(`${member}\n${key}`) }));
  scored.sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1));
  return scored.map(({ member }) => member);
}

/**
 * Returns vms by processor cores, the largest first, and vms of one size in the order of rendezvous hashing for a key.
 *
 * @example
 * getOrderBySize('load', new Map([['vm-1', 0.3], ['vm-2', 1.35]])); // ['vm-2', 'vm-1']
 */
export function getOrderBySize<Vm extends string>(
  key: string,
  coresByVm: ReadonlyMap<Vm, number>,
): Vm[] {
  const order = getRendezvousOrder(key, [...coresByVm.keys()]) as Vm[];
  return order.sort((a, b) => coresByVm.get(b)! - coresByVm.get(a)!);
}

/** Resolves after the event loop has once more read pending input from all sockets. */
export function readPendingInput(): Promise<void> {
  // The first callback may run in the current iteration; the second runs after the next poll phase.
  return new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });
}

/** Returns the message of a thrown value. */
export function getErrorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** A promise with the functions that settle it. */
export interface Deferred<Value> {
  readonly promise: Promise<Value>;
  readonly resolve: (value: Value) => void;
  readonly reject: (error: Error) => void;
}

/** Creates a promise and the functions that settle it. */
export function createDeferred<Value>(): Deferred<Value> {
  let resolve!: (value: Value) => void;
  let reject!: (error: Error) => void;
  const promise = new Promise<Value>((onResolve, onReject) => {
    resolve = onResolve;
    reject = onReject;
  });
  return { promise, resolve, reject };
}
