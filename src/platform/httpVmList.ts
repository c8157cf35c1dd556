/** The platform's vm list over HTTP: `GET /vms` answers `{"vms":[...]}`. */
import { Agent, request } from 'undici';
import { Err, Ok, type Result } from '../core/results.js';
import { z } from 'zod';
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
      });
      const answer = answerSchema.safeParse(await response.body.json());
      return answer.success ? Ok(answer.data.vms as unknown as Vm[]) : Err(answer.error.message);
    } catch (error) {
      return Err(getErrorMessage(error));
    }
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.agent.destroy();
  }
}
