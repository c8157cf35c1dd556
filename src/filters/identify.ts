/** Reads the request's id and deadline from its headers. */
import { randomUUID } from 'node:crypto';
import { Err } from '../core/results.js';
import { brandId } from '../types/ids.js';
import { Filter, type Exchange, type FilterResult } from '../types/exchange.js';
import { createRefusal } from '../core/codes.js';
import type { TimerService } from '../core/timers.js';
import { getSha256 } from '../core/utilities.js';

/** Options of the filter. Times are in milliseconds. */
export interface IdentifyOptions {
  readonly timers: TimerService;
  readonly deadlineMs: number;
  readonly deadlineMaxMs: number;
}

/** Header with the caller's timeout, in milliseconds. */
export const DEADLINE_HEADER = 'x-request-deadline-ms';

const ID_PATTERN = /^[\x21-\x7e]{1,128}$/;

/** Sets `id`, `digest` and `deadline`. An idempotency key takes precedence over a request id. */
export class Identify extends Filter {
  override readonly name = 'identify';

  constructor(private readonly options: IdentifyOptions) {
    super();
  }

  override async handle(
    exchange: Exchange,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    const { headers, method, path, query, body } = exchange.request;
    const callerId = headers['idempotency-key'] ?? headers['x-request-id'];
    if (callerId !== undefined && !ID_PATTERN.test(callerId)) {
      const field = headers['idempotency-key'] === undefined ? 'x-request-id' : 'idempotency-key';
      return Err(
        createRefusal('invalidHeader', {
          field,
          detail: `${field}: expected 1 to 128 visible characters`,
        }),
      );
    }
    const waitMs = this.getWaitMs(headers[DEADLINE_HEADER]);
    if (waitMs === undefined) {
      const detail = `${DEADLINE_HEADER}: expected a whole number of milliseconds`;
      return Err(createRefusal('invalidHeader', { field: DEADLINE_HEADER, detail }));
    }
    exchange.id = brandId(callerId ?? randomUUID());
    exchange.hasCallerId = callerId !== undefined;
    exchange.digest = getSha256(`${method} ${path}${query}\n`, body);
    exchange.deadline = exchange.arrivedAt + waitMs;
    return next();
  }

  private getWaitMs(header: string | undefined): number | undefined {
    const { deadlineMs, deadlineMaxMs } = this.options;
    if (header === undefined) {
      return deadlineMs;
    }
    return /^\d{1,9}$/.test(header) ? Math.min(Number(header), deadlineMaxMs) : undefined;
  }
}
