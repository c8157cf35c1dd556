/** One call on one connection of an endpoint. */
import { request, type Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { TimerService, Unsubscribe } from '../../core/timers.js';
import type { Address } from '../../types/gateway.js';

/** Options of a call. */
export interface EndpointCallOptions {
  readonly agent: Agent;
  readonly timers: TimerService;
  readonly address: Address;
  readonly method: string;
  readonly target: string;
  /** Name and value in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Longest wait for a connection. Default 400 ms. */
  readonly connectTimeoutMs?: number;
}

/** What came of sending a call. */
export type SendResult =
  | { readonly kind: 'answered'; readonly response: IncomingMessage }
  /** No connection came about: the call certainly did not run. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The connection ended before an answer; the call may have run. */
  | { readonly kind: 'broken'; readonly detail: string }
  | { readonly kind: 'aborted' };

const INTERIM_RESPONSES_MAX = 8; // heads with 1xx come before an answer, and each is small
const CONNECT_TIMEOUT_MS = 400; // a dark endpoint must not use up a target of 300 ms and more than once

/** A call in progress. It ends by its answer, a failure, or `abort`. */
export class EndpointCall {
  private readonly clientRequest: ClientRequest;

  private isConnected = false;

  private isAborted = false;

  private hasFailed = false;

  private cancelConnect: Unsubscribe = () => {};

  /** Resolves once, with the head of the answer or how the call failed. */
  readonly result: Promise<SendResult>;

  constructor(private readonly options: EndpointCallOptions) {
    const { agent, address, method, target, headers, body } = options;
    // Headers as an array go out as they are, in their order.
    this.clientRequest = request({
      host: address.host,
      port: address.port,
      agent,
      method,
      path: target,
      headers: headers as never,
    });
    this.result = new Promise((resolve) => {
      this.clientRequest.on('socket', (socket: Socket) => this.watchSocket(socket));
      let interimResponses = 0;
      this.clientRequest.on('information', () => {
        interimResponses += 1;
        if (interimResponses > INTERIM_RESPONSES_MAX) {
          this.clientRequest.destroy(new Error('interim answers without end'));
        }
      });
      this.clientRequest.on('response', (response) => {
        if (isCloseDelimited(response)) {
          this.detectReset(response.socket);
        }
        resolve({ kind: 'answered', response });
      });
      this.clientRequest.on('error', (error: Error) => {
        this.hasFailed = true;
        resolve(this.getFailure(error.message));
      });
      this.clientRequest.on('close', () => resolve(this.getFailure('the connection was closed')));
    });
    this.clientRequest.end(body.length > 0 ? body : undefined);
  }

  /** Returns whether the connection has had no error, as far as an answer that ends with it is concerned. */
  isErrorFree(): boolean {
    return !this.hasFailed;
  }

  /** Drops the connection, so that the endpoint stops its work. */
  abort(): void {
    this.isAborted = true;
    this.clientRequest.destroy();
  }

  private watchSocket(socket: Socket): void {
    const { timers, connectTimeoutMs = CONNECT_TIMEOUT_MS } = this.options;
    socket.setNoDelay(true);
    if (!socket.connecting) {
      this.isConnected = true;
      return;
    }
    this.cancelConnect = timers.subscribe(connectTimeoutMs, () => {
      this.clientRequest.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
    });
    socket.once('connect', () => {
      this.isConnected = true;
      this.cancelConnect();
    });
    this.clientRequest.once('close', () => this.cancelConnect());
  }

  /**
   * Tells a reset from a proper end. Where a reset comes together with the last bytes, it is reported as an end of
   * the stream; only a write shows it. The byte pair is one that servers skip before a request.
   */
  private detectReset(socket: Socket): void {
    socket.prependOnceListener('end', () => {
      socket.write('\r\n', (error) => {
        this.hasFailed ||= Boolean(error);
      });
    });
  }

  private getFailure(detail: string): SendResult {
    if (this.isAborted) {
      return { kind: 'aborted' };
    }
    return { kind: this.isConnected ? 'broken' : 'unreachable', detail };
  }
}

/** Returns whether only the end of the connection ends the answer. */
function isCloseDelimited({ headers, statusCode = 0 }: IncomingMessage): boolean {
  const hasNoBody = statusCode === 204 || statusCode === 304;
  return (
    !hasNoBody &&
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}
