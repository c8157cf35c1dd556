/**
 * HTTP client for the log service.
 *
 * `POST /streams/NAME` appends the body and returns `{"offset":N}`; `GET /streams/NAME?from=N&waitMs=M`
 * returns MessagePack `[first, head, [[offset, data], ...]]`, or 410 with `{"first":N}` for trimmed
 * records. 429 with `Retry-After` means that the append rate limit is exceeded.
 */
import { decode } from '@msgpack/msgpack';
import { Agent, request } from 'undici';
import { Err, Ok, type Result } from '../core/results.js';
import type { Offset, StreamName } from '../types/ids.js';
import { LogService, type LogFailure, type LogPage } from '../types/platform.js';
import { getErrorMessage } from '../core/utilities.js';

/** Options of the HTTP log. */
export interface HttpLogOptions {
  readonly url: string;
  /** Timeout of a request in milliseconds, in addition to the long-poll time of a read. Default 2,000. */
  readonly requestTimeoutMs?: number;
}

const DEFAULT_RETRY_AFTER_MS = 100;
const CONNECT_TIMEOUT_MS = 1_000;

/** A log service reached over HTTP. A call that times out closes its connection, which may no longer deliver data. */
export class HttpLog extends LogService {
  private readonly agent: Agent;

  private readonly timeoutMs: number;

  constructor(private readonly options: HttpLogOptions) {
    super();
    this.timeoutMs = options.requestTimeoutMs ?? 2_000;
    this.agent = new Agent({
      pipelining: 1,
      connect: { timeout: Math.min(CONNECT_TIMEOUT_MS, this.timeoutMs) },
    });
  }

  override async append(stream: StreamName, data: Uint8Array): Promise<Result<Offset, LogFailure>> {
    try {
      const response = await request(this.getUrl(stream), {
        method: 'POST',
        body: data,
        dispatcher: this.agent,
        headersTimeout: this.timeoutMs,
        bodyTimeout: this.timeoutMs,
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      if (response.statusCode === 200) {
        return Ok(JSON.parse(body.toString()).offset as Offset);
      }
      return Err(createStatusFailure(response.statusCode, response.headers['retry-after'], body));
    } catch (error) {
      return Err({ kind: 'unavailable', detail: getErrorMessage(error) });
    }
  }

  override async read(
    stream: StreamName,
    from: Offset,
    waitMs: number,
  ): Promise<Result<LogPage, LogFailure>> {
    try {
      const response = await request(`${this.getUrl(stream)}?from=${from}&waitMs=${waitMs}`, {
        dispatcher: this.agent,
        headersTimeout: waitMs + this.timeoutMs,
        bodyTimeout: this.timeoutMs,
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      if (response.statusCode === 200) {
        return Ok(decodePage(body));
      }
      return Err(createStatusFailure(response.statusCode, response.headers['retry-after'], body));
    } catch (error) {
      return Err({ kind: 'unavailable', detail: getErrorMessage(error) });
    }
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.agent.destroy();
  }

  private getUrl(stream: StreamName): string {
    return `${this.options.url}/streams/${encodeURIComponent(stream)}`;
  }
}

function decodePage(body: Uint8Array): LogPage {
  const [first, head, records] = decode(body) as [Offset, Offset, [Offset, Uint8Array][]];
  return { first, head, records: records.map(([offset, data]) => ({ offset, data })) };
}

function createStatusFailure(
  status: number,
  retryAfter: string | string[] | undefined,
  body: Buffer,
): LogFailure {
  if (status === 429) {
    const seconds = Number(retryAfter);
    return {
      kind: 'throttled',
      retryAfterMs: seconds > 0 ? seconds * 1_000 : DEFAULT_RETRY_AFTER_MS,
    };
  }
  if (status === 410) {
    return { kind: 'trimmed', first: JSON.parse(body.toString()).first };
  }
  return { kind: 'unavailable', detail: `the log answered ${status}` };
}
