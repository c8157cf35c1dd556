/** Reads request bodies within limits of size, time and memory. */
import type { IncomingMessage } from 'node:http';
import { ByteCollector } from '../core/byteCollector.js';
import { Err, Ok, type Result } from '../core/results.js';
import type { MemoryShare } from '../core/memoryBudget.js';
import { createRefusal, type Refusal } from '../core/codes.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import type { CallerBounds, CallerLimitReason } from './callerBounds.js';

/** Limits of a request body. */
export interface BodyLimits {
  readonly timers: TimerService;
  readonly bodyBytes: number;
  readonly bodyTimeoutMs: number;
  readonly bounds: Pick<CallerBounds, 'memory' | 'pacer' | 'count'>;
}

/** A complete body. */
export interface ReceivedBody {
  readonly bytes: Uint8Array;
  /** Frees the body's share of the memory, once the request is no longer in progress. */
  readonly release: () => void;
}

const SHARE_MIN_BYTES = 2_048; // for the request's objects
const MEMORY_RETRY_AFTER_MS = 1_000;
// Chunks of one byte take six bytes on the connection.
const WIRE_RATIO = 8;
const WIRE_BYTES_MIN = 1_048_576;

/**
 * Reads a request body. After a refusal the rest of the body is not read, and the connection must be closed.
 *
 * @example
 * const body = await readBody(message, { timers, bodyBytes: 4_194_304, bodyTimeoutMs: 10_000, bounds });
 * if (body.ok) response.once('close', body.val.release);
 */
export function readBody(
  message: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<ReceivedBody, Refusal>> {
  const { timers, bodyBytes, bodyTimeoutMs, bounds } = limits;
  const { socket } = message;
  return new Promise((resolve) => {
    let body = new ByteCollector({ isSegmented: true });
    const firstByteRead = socket.bytesRead;
    const wireBytesMax = WIRE_RATIO * bodyBytes + WIRE_BYTES_MIN;
    const chunks = bounds.pacer.watch(socket);
    let cancel: Unsubscribe = () => {};
    let share: MemoryShare | undefined;
    let isFinished = false;
    const finish = (result: Result<ReceivedBody, Refusal>) => {
      isFinished = true;
      cancel();
      resolve(result);
    };
    const refuse = (refusal: Refusal, reason?: CallerLimitReason) => {
      if (isFinished) {
        return;
      }
      share?.close();
      // The message and its listeners live until its connection has closed.
      body = new ByteCollector();
      message.removeAllListeners('data');
      message.pause();
      if (reason) {
        bounds.count(reason);
      }
      finish(Err(refusal));
    };
    share = bounds.memory.open(() =>
      refuse(createRefusal('overloaded', { retryAfterMs: MEMORY_RETRY_AFTER_MS }), 'bodyMemory'),
    );
    share.add(SHARE_MIN_BYTES);
    cancel = timers.subscribe(bodyTimeoutMs, () =>
      refuse(createRefusal('bodyTimeout'), 'bodyTimeout'),
    );
    message.on('data', (chunk: Uint8Array) => {
      const refuseSize = (reason: CallerLimitReason) =>
        refuse(
          createRefusal('bodyTooLarge', { detail: `the body is over ${bodyBytes} bytes` }),
          reason,
        );
      if (body.length + chunk.length > bodyBytes) {
        refuseSize('bodyTooLarge');
        return;
      }
      if (socket.bytesRead - firstByteRead > wireBytesMax) {
        refuseSize('bodyOverhead');
        return;
      }
      const { capacity } = body;
      body.append(chunk);
      chunks.onChunk(chunk.length);
      if (body.capacity > capacity) {
        share?.add(body.capacity - capacity);
      }
    });
    message.on('end', () => {
      share?.keep();
      finish(Ok({ bytes: body.getBytes(), release: () => share?.close() }));
    });
    message.on('error', () => refuse(createRefusal('bodyTimeout')));
    message.on('close', () => refuse(createRefusal('bodyTimeout')));
  });
}
