/**
 * HTTP client for the platform's vm list: `GET /vms` returns `{"vms":[...]}` with an `ETag`, and 304 if
 * `If-None-Match` has the current one.
 */
import { Agent, request } from 'undici';
import { Err, Ok, type Result } from '../core/results.js';
import * as z from 'zod';
import { VmList, type Vm } from '../types/platform.js';
import { getErrorMessage } from '../core/utilities.js';

/** Options of the HTTP vm list. */
export interface HttpVmListOptions {
  readonly url: string;
  /** Timeout of a request, in milliseconds. Default 2,000. */
  readonly requestTimeoutMs?: number;
}

const responseSchema = z.object({
  vms: z.array(
    z.object({
      vm: z.string(),
      host: z.string(),
      port: z.int(),
      availabilityZone: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** The vm list, reached over HTTP. */
export class HttpVmList extends VmList {
  private readonly agent = new Agent({ pipelining: 1 });

  private etag: string | undefined;

  /** The list for the current ETag; the same array is returned until the list changes. */
  private cachedVms: readonly Vm[] = [];

  constructor(private readonly options: HttpVmListOptions) {
    super();
  }

  override async list(): Promise<Result<readonly Vm[], string>> {
    const { url, requestTimeoutMs = 2_000 } = this.options;
    try {
      const response = await request(`${url}/vms`, {
        dispatcher: this.agent,
        headersTimeout: requestTimeoutMs,
        bodyTimeout: requestTimeoutMs,
        headers: this.etag === undefined ? {} : { 'if-none-match': this.etag },
      });
      if (response.statusCode === 304) {
        await response.body.dump();
        return Ok(this.cachedVms);
      }
      const body = responseSchema.safeParse(await response.body.json());
      if (!body.success) {
        return Err(body.error.message);
      }
      this.cachedVms = body.data.vms as unknown as Vm[];
      this.etag = response.headers.etag?.toString();
      return Ok(this.cachedVms);
    } catch (error) {
      return Err(getErrorMessage(error));
    }
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.agent.destroy();
  }
}
