/** Reads request bodies within limits of size and time. */
import type { IncomingMessage } from 'node:http';
import { ByteCollector } from '../core/byteCollector.js';
import { Err, Ok, type Result } from '../core/results.js';
import { createRefusal, type Refusal } from '../core/codes.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';

/** Limits of a request body. */
export interface BodyLimits {
  readonly timers: TimerService;
  readonly bodyBytes: number;
  readonly bodyTimeoutMs: number;
}

/** Reads a request body; refuses a body that is too large or arrives too slowly. */
export function readBody(
  message: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<Uint8Array, Refusal>> {
  const { timers, bodyBytes, bodyTimeoutMs } = limits;
  return new Promise((resolve) => {
    const body = new ByteCollector();
    let cancel: Unsubscribe = () => {};
    const finish = (result: Result<Uint8Array, Refusal>) => {
      cancel();
      message.removeAllListeners('data');
      message.resume();
      resolve(result);
    };
    cancel = timers.subscribe(bodyTimeoutMs, () => finish(Err(createRefusal('bodyTimeout'))));
    message.on('data', (chunk: Uint8Array) => {
      body.append(chunk);
      if (body.length > bodyBytes) {
        const detail = `the body is over ${bodyBytes} bytes`;
        finish(Err(createRefusal('bodyTooLarge', { detail })));
      }
    });
    message.on('end', () => finish(Ok(body.getBytes())));
    message.on('error', () => finish(Err(createRefusal('bodyTimeout'))));
  });
}
