/** Exchanges what gateways know of cold endpoints. */
import type { ColdEndpointWord } from '../../types/peers.js';
import type { EndpointDirectory } from '../endpointDirectory.js';

/** Returns what this gateway knows of the endpoints that are cold. */
export function createWarmupWords(directory: EndpointDirectory, nowMs: number): ColdEndpointWord[] {
  return directory.getInstances().flatMap(({ entry: { id }, warmup }) => {
    const word = warmup.getWord(nowMs);
    return word ? [{ endpoint: id, ...word }] : [];
  });
}

/**
 * Applies the words of a peer and returns how many can't be used. A peer of an earlier version sends none.
 *
 * @example
 * mergeWarmupWords(directory, 'odd', timers.now()); // 1
 */
export function mergeWarmupWords(
  directory: EndpointDirectory,
  received: unknown,
  nowMs: number,
): number {
  if (received === undefined) {
    return 0;
  }
  const words: unknown[] = Array.isArray(received) ? received : [undefined];
  const usable = words.filter(isColdEndpointWord);
  usable.forEach((word) => directory.get(word.endpoint)?.warmup.applyWord(word, nowMs));
  return words.length - usable.length;
}

function isColdEndpointWord(value: unknown): value is ColdEndpointWord {
  const { endpoint, startedAtMs, sequence, version, leftMs } = (value ??
    {}) as Partial<ColdEndpointWord>;
  return (
    typeof endpoint === 'string' &&
    [startedAtMs, sequence, version].every((number) => Number.isSafeInteger(number)) &&
    typeof leftMs === 'number' &&
    leftMs >= 0 &&
    Number.isFinite(leftMs)
  );
}
