/**
 * The platform's vm list over HTTP: `GET /vms` answers `{"vms":[...]}` with an `ETag`, and 304 where
 * `If-None-Match` carries the current one.
 */
import { Agent, request } from 'undici';
import { Err, Ok, type Result } from '../core/results.js';
import * as z from 'zod';
import { VmList, type Vm } from '../types/platform.js';
import { getErrorMessage } from '../core/utilities.js';

/** Options of the HTTP vm list. */
export interface HttpVmListOptions {
  readonly url: string;
  /** In milliseconds. Default 2,000. */
  readonly requestTimeoutMs?: number;
}

const answerSchema = z.object({
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

/** A vm list behind HTTP. */
export class HttpVmList extends VmList {
  private readonly agent = new Agent({ pipelining: 1 });

  private etag: string | undefined;

  /** The list that the tag belongs to; the same array is returned while it stands. */
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
      const answer = answerSchema.safeParse(await response.body.json());
      if (!answer.success) {
        return Err(answer.error.message);
      }
      this.cachedVms = answer.data.vms as unknown as Vm[];
      this.etag = response.headers.etag?.toString();
      return Ok(this.cachedVms);
    } catch (error) {
      return Err(getErrorMessage(error));
    }
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.agent.destroy();
  }
}
