/** Calls endpoints over HTTP. */
import { Agent, errors, request } from 'undici';
import { Err, Ok, type Result } from '../core/results.js';
import {
  EndpointClient,
  EndpointError,
  type EndpointResponse,
  type EndpointCall,
  type EndpointFailure,
} from '../types/endpoints.js';
import { getErrorMessage } from '../core/utilities.js';
import { BodyReader } from './bodyReader.js';
import { createResetConnector } from './resetConnector.js';

/** Options of the client. Times are in milliseconds. */
export interface HttpEndpointClientOptions {
  /** Timeout for establishing a connection. Default 1,000. */
  readonly connectTimeoutMs?: number;
  /** Timeout for the response headers. Default 15,000. */
  readonly firstByteMs?: number;
  /** Idle timeout within a response body. Default 5,000. */
  readonly idleMs?: number;
}

// A reset follows the end of a connection closely when the endpoint has not read the whole upload.
const RESET_DETECTION_MS = 10;
const STATUS_MIN = 200;
const STATUS_MAX = 599;
const NO_CONTENT_STATUS = 204;
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND']);

/** An HTTP client that closes connections on which data stops arriving. */
export class HttpEndpointClient extends EndpointClient {
  private readonly keepAliveAgent: Agent;

  private readonly singleUseAgent: Agent;

  constructor(options: HttpEndpointClientOptions = {}) {
    super();
    const { connectTimeoutMs = 1_000, firstByteMs = 15_000, idleMs = 5_000 } = options;
    const createConnector = (detectionMs: number) =>
      createResetConnector({ timeout: connectTimeoutMs, detectionMs });
    const limits = {
      headersTimeout: firstByteMs,
      bodyTimeout: idleMs,
    };
    this.keepAliveAgent = new Agent({ ...limits, connect: createConnector(0), pipelining: 1 });
    this.singleUseAgent = new Agent({
      ...limits,
      connect: createConnector(RESET_DETECTION_MS),
      pipelining: 0,
    });
  }

  override async send(call: EndpointCall): Promise<Result<EndpointResponse, EndpointFailure>> {
    const controller = new AbortController();
    const abort = () => controller.abort();
    call.signal.addEventListener('abort', abort, { once: true });
    try {
      const response = await request(call.url, {
        method: call.method as 'GET',
        headers: call.headers,
        body: call.body,
        signal: controller.signal,
        headersTimeout: call.firstByteMs,
        dispatcher: call.hasOwnConnection ? this.singleUseAgent : this.keepAliveAgent,
      });
      const fault = findHeadFault(response.statusCode, response.headers);
      if (fault !== undefined) {
        response.body.on('error', () => {});
        response.body.destroy();
        call.signal.removeEventListener('abort', abort);
        return Err({ kind: 'broken', detail: fault });
      }
      return Ok({
        status: response.statusCode,
        headers: response.headers as Record<string, string | undefined>,
        body: new BodyReader(
          response.body,
          (error) => new EndpointError(createFailure(error)),
          () => call.signal.removeEventListener('abort', abort),
        ),
        abort,
      });
    } catch (error) {
      call.signal.removeEventListener('abort', abort);
      return Err(createFailure(error));
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([this.keepAliveAgent.destroy(), this.singleUseAgent.destroy()]);
  }
}

/** Returns what is wrong with a head that undici accepts, or `undefined`. */
function findHeadFault(
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): string | undefined {
  if (status < STATUS_MIN || status > STATUS_MAX) {
    return `status ${status} is not between ${STATUS_MIN} and ${STATUS_MAX}`;
  }
  const coding = headers['transfer-encoding'];
  if (coding !== undefined && String(coding).toLowerCase() !== 'chunked') {
    return 'transfer coding is not chunked'; // undici decodes only chunks
  }
  const hasBody = coding !== undefined || Number(headers['content-length'] ?? 0) > 0;
  return status === NO_CONTENT_STATUS && hasBody
    ? 'head announces a body that its status excludes'
    : undefined;
}

function createFailure(error: unknown): EndpointFailure {
  const detail = getErrorMessage(error);
  const code = (error as { code?: string }).code ?? '';
  if (error instanceof errors.ConnectTimeoutError || NOT_SENT_CODES.has(code)) {
    return { kind: 'unreachable', detail };
  }
  if (error instanceof errors.HeadersTimeoutError || error instanceof errors.BodyTimeoutError) {
    return { kind: 'silent', detail };
  }
  if ((error as Error).name === 'AbortError') {
    return { kind: 'aborted', detail };
  }
  return { kind: 'broken', detail };
}
