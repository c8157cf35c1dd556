/** Random requests of the callers of a soak. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { headerNames } from '../../platform/names.js';
import type { PieceByPieceRequest } from './keptConnection.js';
import { SOAK_HOST, soakTimeouts } from './soakConfig.js';
import type { SoakRequest } from './soakVerdict.js';

/** Numbers from one seed. Callers and events have a source each, so that the events don't depend on the load. */
export class RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a number in [0, 1). */
  next(): number {
    return uniformFloat64(this.generator);
  }

  /** Returns a whole number of at least `min` and less than `max`. */
  between(min: number, max: number): number {
    return Math.floor(min + this.next() * (max - min));
  }
}

/** Returns a booking, a booking in pieces, a stream, or a large answer that is read late. */
export function createSoakRequest(
  random: RandomSource,
  idPrefix: string,
): PieceByPieceRequest & Pick<SoakRequest, 'id' | 'kind' | 'timeoutMs'> {
  const id = `${idPrefix}-${random.next().toString(36).slice(2)}`;
  const choice = random.next();
  const create = (
    kind: string,
    target: string,
    timeoutMs: number,
    more: Partial<PieceByPieceRequest> & { expects?: boolean } = {},
  ) => {
    const body = 'x'.repeat(30);
    const head = [
      `POST ${target} HTTP/1.1`,
      `host: ${SOAK_HOST}`,
      `${headerNames.callId}: ${id}`,
      `content-length: ${body.length}`,
      ...(more.expects ? ['expect: 100-continue'] : []),
    ];
    const whole = `${head.join('\r\n')}\r\n\r\n${body}`;
    const pieces = more.pieceIntervalMs
      ? [whole.slice(0, 25), whole.slice(25, -20), whole.slice(-20)]
      : [whole];
    return { id, kind, timeoutMs, pieceIntervalMs: 0, readPauseMs: 0, ...more, pieces };
  };
  if (choice < 0.2) {
    const pieceIntervalMs = random.between(1, 400);
    const expects = random.next() < 0.5;
    const target = `/b/x?ms=${random.between(20, 90)}&bytes=800`;
    return create('piecewise booking', target, soakTimeouts.bookingMs, {
      pieceIntervalMs,
      expects,
    });
  }
  if (choice < 0.35) {
    return create('stream', `/s/x?ms=${random.between(200, 4_000)}`, soakTimeouts.streamMs);
  }
  if (choice < 0.4) {
    const target = `/l/x?ms=${random.between(20, 90)}&bytes=${random.between(100_000, 7_000_000)}`;
    return create('large', target, soakTimeouts.largeMs, { readPauseMs: random.between(0, 3_000) });
  }
  const target = `/b/x?ms=${random.between(20, 90)}&bytes=800`;
  return create('booking', target, soakTimeouts.bookingMs);
}
