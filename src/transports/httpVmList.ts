/**
 * HTTP client for the platform's vm list: `GET /vms` returns `{"vms":[...]}` with an `ETag`, and 304 if
 * `If-None-Match` has the current one.
 */
import { Agent, request } from 'undici';
import { Err, Ok, type Result } from '../core/results.js';
import * as z from 'zod';
import { checkShape } from '../core/shapes.js';
import { VmList, type Vm } from '../types/platform.js';
import { getErrorMessage } from '../core/utilities.js';

/** Options of the HTTP vm list. */
export interface HttpVmListOptions {
  readonly url: string;
  /** Timeout of a request, in milliseconds. Default 2,000. */
  readonly requestTimeoutMs?: number;
  /** Called with the reason for each entry that is left out. */
  readonly onMalformed?: (detail: string) => void;
}

const PORT_MAX = 65_535;

const responseSchema = z.object({ vms: z.array(z.unknown()) });

const vmSchema = z.object({
  vm: z.string(),
  host: z.string(),
  port: z.int().min(1).max(PORT_MAX),
  availabilityZone: z.string(),
  state: z.enum(['live', 'leaving']),
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
      const text = await response.body.text();
      const body = checkShape(responseSchema, () => JSON.parse(text));
      if (body.err) {
        return body;
      }
      this.cachedVms = body.val.vms.flatMap((vm) => this.decodeVm(vm));
      this.etag = response.headers.etag?.toString();
      return Ok(this.cachedVms);
    } catch (error) {
      return Err(getErrorMessage(error));
    }
  }

  /** One malformed entry must not hide the others. */
  private decodeVm(value: unknown): Vm[] {
    const vm = checkShape(vmSchema, () => value);
    if (vm.err) {
      this.options.onMalformed?.(vm.val);
      return [];
    }
    return [vm.val as unknown as Vm];
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.agent.destroy();
  }
}
