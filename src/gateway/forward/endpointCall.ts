/** Sends one call over one connection to an endpoint. */
import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { ByteCollector } from '../../core/byteCollector.js';
import type { MemoryBudget } from '../../core/memoryBudget.js';
import type { TimerService, Unsubscribe } from '../../core/timers.js';
import { getErrorMessage } from '../../core/utilities.js';
import type { Address } from '../../types/gateway.js';
import type { EndpointAgent } from './endpointAgent.js';
import { findHeadFault } from './responseHead.js';

/** Options of a call. */
export interface EndpointCallOptions {
  readonly agent: EndpointAgent;
  readonly timers: TimerService;
  /** Shared by all responses that are being read. */
  readonly responseMemory: MemoryBudget;
  /** The id that the endpoint repeats in its response. */
  readonly callId: string;
  readonly address: Address;
  readonly method: string;
  readonly target: string;
  /** Alternates between name and value. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Default 400 ms. */
  readonly connectTimeoutMs?: number;
}

/** The result of sending a call. */
export type SendResult =
  | { readonly kind: 'answered'; readonly response: IncomingMessage }
  /** No connection was established, so the call was not executed. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The connection ended before a response; the call may have been executed. */
  | { readonly kind: 'broken'; readonly detail: string }
  | { readonly kind: 'aborted' };

const INTERIM_RESPONSES_MAX = 8; // 1xx responses; each is small, so no size limit stops them
/**
 * Bytes before the end of the head. Node limits each head by `--max-http-header-size`, but its parser skips blank lines in
 * front of a status line without counting them.
 */
const HEAD_BYTES_MAX = 131_072;
// A reset follows the end of a connection closely when the endpoint has not read the whole upload.
const RESET_DETECTION_MS = 10;
const CONNECT_TIMEOUT_MS = 400; // latency targets are 300 ms and more; an unresponsive endpoint must not use up one more than once

/** A call in progress. It ends with a response, a failure, or `abort`. */
export class EndpointCall {
  /** `undefined` if the endpoint can't be called. */
  private clientRequest: ClientRequest | undefined;

  private isConnected = false;

  private isAborted = false;

  private hasFailed = false;

  private hasRepeatedCall = false;

  private cancelConnect: Unsubscribe = () => {};

  /** Everything received until the head of the response is complete. */
  private headBytes = new ByteCollector();

  /** Resolves with the head of the response, or with the failure. */
  readonly result: Promise<SendResult>;

  constructor(private readonly options: EndpointCallOptions) {
    this.result = new Promise((resolve) => {
      try {
        this.send(resolve);
      } catch (error) {
        // Node rejects addresses and headers that it can't send by an exception.
        resolve({ kind: 'unreachable', detail: getErrorMessage(error) });
      }
    });
  }

  /** Returns whether the connection has had no error so far. Decides whether a close-delimited response is complete. */
  isErrorFree(): boolean {
    return !this.hasFailed;
  }

  /** Returns whether the connection carried other calls before, whose responses may still arrive on it. */
  isConnectionReused(): boolean {
    return this.clientRequest?.reusedSocket ?? false;
  }

  /** Returns whether the connection carried a call of the same id before, whose response can't be told from this one's. */
  isRepeatedOnConnection(): boolean {
    return this.hasRepeatedCall;
  }

  /** Closes the connection, so that the endpoint stops its work. */
  abort(): void {
    this.isAborted = true;
    this.clientRequest?.destroy();
  }

  private send(resolve: (result: SendResult) => void): void {
    const { agent, callId, address, method, target, headers, body } = this.options;
    // Node sends an array of headers unchanged and in order.
    const clientRequest = request({
      host: address.host,
      port: address.port,
      agent: agent.getAgentFor(address, callId),
      method,
      path: target,
      headers: headers as never,
    });
    this.clientRequest = clientRequest;
    clientRequest.on('socket', (socket: Socket) => this.watchSocket(clientRequest, socket));
    let interimResponses = 0;
    clientRequest.on('information', () => {
      interimResponses += 1;
      if (interimResponses > INTERIM_RESPONSES_MAX) {
        clientRequest.destroy(new Error('too many interim responses'));
      }
    });
    clientRequest.on('response', (response) => {
      const fault = findHeadFault(this.headBytes.getBytes());
      if (fault !== undefined) {
        resolve(this.getFailure(fault));
        clientRequest.destroy();
        return;
      }
      if (isCloseDelimited(response)) {
        this.detectReset(clientRequest, response.socket);
      }
      resolve({ kind: 'answered', response });
    });
    clientRequest.on('error', (error: Error) => {
      this.hasFailed = true;
      resolve(this.getFailure(error.message));
    });
    clientRequest.on('close', () =>
      resolve(this.getFailure('connection closed before a response')),
    );
    clientRequest.end(body.length > 0 ? body : undefined);
  }

  private watchSocket(clientRequest: ClientRequest, socket: Socket): void {
    const { agent, callId, timers, connectTimeoutMs = CONNECT_TIMEOUT_MS } = this.options;
    socket.setNoDelay(true);
    this.hasRepeatedCall = agent.recordCall(socket, callId);
    this.collectHead(clientRequest, socket);
    if (!socket.connecting) {
      this.isConnected = true;
      return;
    }
    this.cancelConnect = timers.subscribe(connectTimeoutMs, () => {
      clientRequest.destroy(new Error(`connection not established within ${connectTimeoutMs} ms`));
    });
    socket.once('connect', () => {
      this.isConnected = true;
      this.cancelConnect();
    });
    clientRequest.once('close', () => this.cancelConnect());
  }

  /** The parser's own listener must come second, since it reports the response. */
  private collectHead(clientRequest: ClientRequest, socket: Socket): void {
    const giveUp = (detail: string) => clientRequest.destroy(new Error(detail));
    const share = this.options.responseMemory.open((usedBytes) =>
      giveUp(`the largest of the responses being read, which hold ${usedBytes} bytes`),
    );
    const append = (chunk: Buffer) => {
      // The limit applies to the chunks before: the one that ends the head may hold a part of the body.
      if (this.headBytes.length > HEAD_BYTES_MAX) {
        giveUp(`no complete head within ${HEAD_BYTES_MAX} bytes`);
        return;
      }
      this.headBytes.append(chunk);
      share.add(chunk.length);
    };
    const stop = () => {
      socket.off('data', append);
      share.close();
      this.headBytes = new ByteCollector();
    };
    socket.prependListener('data', append);
    clientRequest.once('response', stop);
    clientRequest.once('close', stop);
  }

  /**
   * Distinguishes a reset from an orderly end, before the parser learns of the end. A connection that ends while the upload
   * is being written has not carried a complete answer. A reset that arrives with the last bytes, or after them, is not
   * reported, and only a write reveals it. The CRLF written is one that servers ignore before a request.
   */
  private detectReset(clientRequest: ClientRequest, socket: Socket): void {
    const listeners = socket.listeners('end');
    socket.removeAllListeners('end');
    // Otherwise the writing side ends too, and nothing more can be written.
    socket.allowHalfOpen = true;
    const finish = () => listeners.forEach((listener) => listener.call(socket));
    const probe = () => {
      socket.write('\r\n', (error) => {
        if (error) {
          this.hasFailed = true;
        } else {
          finish();
        }
      });
    };
    socket.once('end', () => {
      if (!clientRequest.writableFinished || socket.writableLength > 0) {
        this.hasFailed = true;
        finish();
      } else if (this.options.body.length === 0) {
        probe();
      } else {
        const cancel = this.options.timers.subscribe(RESET_DETECTION_MS, probe);
        socket.once('close', cancel);
      }
    });
  }

  private getFailure(detail: string): SendResult {
    if (this.isAborted) {
      return { kind: 'aborted' };
    }
    return { kind: this.isConnected ? 'broken' : 'unreachable', detail };
  }
}

/** Returns whether the response ends only with its connection. */
export function isCloseDelimited({ headers, statusCode = 0 }: IncomingMessage): boolean {
  const hasNoBody = statusCode === 204 || statusCode === 304;
  return (
    !hasNoBody &&
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}
