/** Simulated engines and an order service on virtual time. */
import { Err, Ok, type Result } from '../../src/core/results.js';
import type { TimerService } from '../../src/core/timers.js';
import {
  EndpointClient,
  EndpointError,
  type EndpointResponse,
  type EndpointCall,
  type EndpointFailure,
} from '../../src/types/endpoints.js';
import type { PausableTimers } from './pausableTimers.js';

/** The faults of one endpoint. */
export interface EndpointFaults {
  down?: boolean;
  /** Number of tokens after which the connection breaks; 0 breaks it before the response. */
  breakAfter?: number;
  /** Responds with the words and the id of another prompt. */
  crossed?: boolean;
  silent?: boolean;
  leaving?: boolean;
  rejecting?: boolean;
  /** Answers every call with this response. */
  response?: {
    readonly status: number;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body: string;
  };
}

const TOKEN_MS = 20;
const SILENT_TIMEOUT_MS = 2_000;
const WORDS = ['ash', 'pole', 'roll', 'pile', 'dye'];

/** A prompt that contains this text crashes the endpoint, which breaks all connections to it. */
export const CRASH_TEXT = 'crash';

/** The endpoints of a simulation. */
export class FakeEndpoints {
  readonly faults = new Map<string, EndpointFaults>();

  /** Number of runs of each order, by its key. */
  readonly orders = new Map<string, number>();

  /** The id of each call that reached an endpoint. */
  readonly callIds: string[] = [];

  /** Number of calls that reached each endpoint. */
  readonly calls = new Map<string, number>();

  /** Number of crashes of each endpoint. */
  readonly crashes = new Map<string, number>();

  /** The current generation of each endpoint, which a crash increments; calls of older generations break. */
  readonly generations = new Map<string, number>();

  constructor(readonly timers: TimerService) {}

  setFaults(endpoint: string, faults: EndpointFaults): void {
    this.faults.set(endpoint, faults);
  }

  crash(endpoint: string): void {
    this.crashes.set(endpoint, (this.crashes.get(endpoint) ?? 0) + 1);
    this.generations.set(endpoint, (this.generations.get(endpoint) ?? 0) + 1);
  }
}

/** Returns the words of every engine's response to a prompt. */
export function getExpectedWords(prompt: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => {
    const character = prompt.charCodeAt((index * 7) % prompt.length);
    return ` ${WORDS[(character + index) % WORDS.length]!}`;
  });
}

/** The endpoint client of one simulated process. */
export class FakeEndpointClient extends EndpointClient {
  constructor(
    private readonly endpoints: FakeEndpoints,
    private readonly process: PausableTimers,
  ) {
    super();
  }

  override async send(call: EndpointCall): Promise<Result<EndpointResponse, EndpointFailure>> {
    const { endpoints, process } = this;
    const endpoint = new URL(call.url).hostname;
    await endpoints.timers.sleep(1);
    await process.whenRunning();
    if (call.signal.aborted) {
      return Err({ kind: 'aborted', detail: 'aborted' });
    }
    const faults = endpoints.faults.get(endpoint) ?? {};
    if (faults.down) {
      return Err({ kind: 'unreachable', detail: 'down' });
    }
    endpoints.calls.set(endpoint, (endpoints.calls.get(endpoint) ?? 0) + 1);
    endpoints.callIds.push(call.headers['x-request-id']!);
    const echo = { 'x-request-id': call.headers['x-request-id']! };
    if (faults.leaving) {
      return Ok(createResponse(503, { ...echo, 'x-endpoint-leaving': 'yes' }, []));
    }
    if (faults.rejecting) {
      return Ok(createResponse(503, echo, []));
    }
    if (faults.response) {
      const { status, headers = echo, body } = faults.response;
      return Ok(createResponse(status, headers, [body]));
    }
    return call.url.includes('/v1/') ? this.chat(endpoint, call, faults) : this.order(call, faults);
  }

  private async order(
    call: EndpointCall,
    faults: EndpointFaults,
  ): Promise<Result<EndpointResponse, EndpointFailure>> {
    const { endpoints } = this;
    const key = call.headers['idempotency-key'] ?? call.headers['x-request-id']!;
    endpoints.orders.set(key, (endpoints.orders.get(key) ?? 0) + 1);
    await endpoints.timers.sleep(TOKEN_MS);
    if (faults.breakAfter !== undefined) {
      return Err({ kind: 'broken', detail: 'lost answer' });
    }
    return Ok(createResponse(201, { 'content-type': 'application/json' }, [`{"order":"${key}"}`]));
  }

  private async chat(
    endpoint: string,
    call: EndpointCall,
    faults: EndpointFaults,
  ): Promise<Result<EndpointResponse, EndpointFailure>> {
    const { endpoints } = this;
    const body = JSON.parse(Buffer.from(call.body!).toString());
    const prompt: string = body.messages[0].content;
    const generation = endpoints.generations.get(endpoint) ?? 0;
    await endpoints.timers.sleep(TOKEN_MS);
    if (prompt.includes(CRASH_TEXT)) {
      endpoints.crash(endpoint);
    }
    if (faults.breakAfter === 0 || (endpoints.generations.get(endpoint) ?? 0) !== generation) {
      return Err({ kind: 'broken', detail: 'broken' });
    }
    const id = call.headers['x-request-id']!;
    const words = getExpectedWords(faults.crossed ? `other ${prompt}` : prompt, body.max_tokens);
    const headers = faults.crossed ? { 'x-request-id': `other-${id}` } : { 'x-request-id': id };
    const responseBody = this.stream(endpoint, call, id, words, faults, generation);
    return Ok({ ...createResponse(200, headers, []), body: responseBody });
  }

  private async *stream(
    endpoint: string,
    call: EndpointCall,
    id: string,
    words: readonly string[],
    faults: EndpointFaults,
    generation: number,
  ): AsyncGenerator<Uint8Array> {
    const { endpoints, process } = this;
    for (let index = 0; index < words.length; index += 1) {
      await endpoints.timers.sleep(TOKEN_MS);
      await process.whenRunning();
      if (call.signal.aborted) {
        throw new EndpointError({ kind: 'aborted', detail: 'aborted' });
      }
      const hasCrashed = (endpoints.generations.get(endpoint) ?? 0) !== generation;
      if (hasCrashed || index === faults.breakAfter) {
        throw new EndpointError({ kind: 'broken', detail: 'broken' });
      }
      if (faults.silent && index === 1) {
        await endpoints.timers.sleep(SILENT_TIMEOUT_MS);
        throw new EndpointError({ kind: 'silent', detail: 'silent' });
      }
      const delta = { content: words[index] };
      yield createEvent({ id, choices: [{ index: 0, delta, finish_reason: null }] });
    }
    yield createEvent({ id, choices: [{ index: 0, delta: {}, finish_reason: 'stop' }] });
    const usage = { prompt_tokens: 5, completion_tokens: words.length };
    yield createEvent({ id, choices: [], usage });
    yield Buffer.from('data: [DONE]\n\n');
  }
}

function createEvent(data: object): Uint8Array {
  return Buffer.from(`data: ${JSON.stringify(data)}\n\n`);
}

function createResponse(
  status: number,
  headers: Readonly<Record<string, string>>,
  parts: readonly string[],
): EndpointResponse {
  async function* read(): AsyncGenerator<Uint8Array> {
    yield* parts.map((part) => Buffer.from(part));
  }
  return { status, headers, body: read(), abort: () => {} };
}
