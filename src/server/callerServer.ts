/** The HTTP server of a router, for callers, peers and operators. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import { readFileSync } from 'node:fs';
import type { AddressInfo, Socket } from 'node:net';
import { Err } from '../core/results.js';
import { Exchange, type FilterResult } from '../types/exchange.js';
import type { Settings } from '../core/settings.js';
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService } from '../core/timers.js';
import { codes, createRefusal, type Refusal } from '../core/codes.js';
import { createDeferred, getErrorMessage, readPendingInput } from '../core/utilities.js';
import { PEER_PATH } from '../peers/peerRpc.js';
import { handlePeerMessage, type PeerMessageHandler } from './handlePeerMessage.js';
import { createCallerBounds, type CallerBounds } from './callerBounds.js';
import { ConnectionLimit } from './connectionLimit.js';
import { ConnectionQueue } from './connectionQueue.js';
import { createErrorBody, getErrorHeaders, getErrorStatus } from './errorBody.js';
import { closeAfterResponse } from './lingeringClose.js';
import { NodeResponse } from './nodeResponse.js';
import { readBody } from './readBody.js';

/** Handlers for each kind of request. */
export interface ServerHandlers {
  readonly handleCaller: (exchange: Exchange) => Promise<FilterResult>;
  readonly handlePeer: PeerMessageHandler;
  /** Returns the models that an API key may use, or a refusal. */
  readonly listModels: (authorization: string | undefined) => readonly string[] | Refusal;
  /** Returns the reason why the router is not ready, or `undefined` if it is ready. */
  readonly getNotReadyReason: () => string | undefined;
}

/** Options of the server. */
export interface CallerServerOptions {
  readonly settings: Settings;
  readonly timers: TimerService;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly handlers: ServerHandlers;
}

const JSON_HEADERS = { 'content-type': 'application/json' };
const TEXT_HEADERS = { 'content-type': 'text/plain; charset=utf-8' };
const DRAINING_RETRY_AFTER_MS = 1_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** HTTP server that tracks its sockets and open requests, for draining and closing. */
export class CallerServer {
  private readonly server: Server;

  private readonly openResponses = new Set<ServerResponse>();

  private readonly connections = new ConnectionQueue();

  private readonly sockets = new Set<Socket>();

  private isDraining = false;

  private readonly drained = createDeferred<void>();

  private readonly bounds: CallerBounds;

  constructor(private readonly options: CallerServerOptions) {
    const { settings, timers, metrics } = options;
    this.bounds = createCallerBounds({ ...settings.limits, timers, metrics });
    this.server = this.createServer();
    new ConnectionLimit({
      connectionsMax: this.bounds.callerConnections,
      count: this.bounds.count,
    }).watch(this.server);
    this.server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    this.connections.watch(this.server);
    this.server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Starts listening; resolves to the port. */
  async listen(): Promise<number> {
    const { listen } = this.options.settings.router;
    const colon = listen.lastIndexOf(':');
    const listening = createDeferred<void>();
    this.server.once('error', listening.reject);
    this.server.listen(Number(listen.slice(colon + 1)), listen.slice(0, colon), () => {
      listening.resolve();
    });
    await listening.promise;
    return (this.server.address() as AddressInfo).port;
  }

  /** Returns the number of requests in flight. */
  getOpenRequests(): number {
    return this.openResponses.size;
  }

  /** Refuses new requests; resolves when no request is in flight. */
  async drain(): Promise<void> {
    this.isDraining = true;
    // After an event loop stall, connections that seem idle may hold requests.
    await readPendingInput();
    this.connections.closeIdle();
    this.resolveIfDrained();
    await this.drained.promise;
  }

  /** Closes every connection. */
  close(): Promise<void> {
    const closed = createDeferred<void>();
    this.server.close(() => closed.resolve());
    this.sockets.forEach((socket) => socket.destroy());
    return closed.promise;
  }

  private createServer(): Server {
    const { tls, limits } = this.options.settings;
    const serverOptions = {
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.bodyTimeoutMs,
      requestTimeout: 2 * limits.bodyTimeoutMs,
    };
    const listener = (message: IncomingMessage, response: ServerResponse) => {
      if (message.socket.destroyed) {
        return;
      }
      this.handle(message, response).catch((error: unknown) => {
        this.options.logger.error('HTTP request failed', { error: getErrorMessage(error) });
        response.destroy();
      });
    };
    if (!tls) {
      return createServer(serverOptions, listener);
    }
    const credentials = { cert: readFileSync(tls.certFile), key: readFileSync(tls.keyFile) };
    return createTlsServer({ ...serverOptions, ...credentials }, listener);
  }

  private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const [path = '/', query] = (message.url ?? '/').split('?');
    if (!(await this.connections.add(message.socket, response).turn)) {
      this.options.logger.info('request dropped: its connection closes after an earlier response', {
        path,
      });
      return;
    }
    const route = `${message.method} ${path}`;
    switch (route) {
      case 'GET /healthz':
        send(response, 200, TEXT_HEADERS, 'ok\n');
        return;
      case 'GET /readyz':
        this.handleReadiness(response);
        return;
      case 'GET /metrics':
        await this.handleMetrics(response);
        return;
      case 'GET /v1/models':
        this.handleModels(message, response);
        return;
      case `POST ${PEER_PATH}`:
        await this.handlePeer(message, response);
        return;
      default:
        await this.handleCaller(message, response, path, query === undefined ? '' : `?${query}`);
    }
  }

  private handleReadiness(response: ServerResponse): void {
    const reason = this.isDraining ? 'draining' : this.options.handlers.getNotReadyReason();
    send(response, reason === undefined ? 200 : 503, TEXT_HEADERS, `${reason ?? 'ready'}\n`);
  }

  private async handleMetrics(response: ServerResponse): Promise<void> {
    const { registry, openRequests } = this.options.metrics;
    openRequests.set(this.openResponses.size);
    send(response, 200, { 'content-type': registry.contentType }, await registry.metrics());
  }

  private handleModels(message: IncomingMessage, response: ServerResponse): void {
    const models = this.options.handlers.listModels(message.headers.authorization);
    if ('name' in models) {
      this.sendRefusal(new NodeResponse(response), models);
      return;
    }
    const data = models.map((id) => ({ id, object: 'model', created: 0, owned_by: 'shallotrock' }));
    send(response, 200, JSON_HEADERS, JSON.stringify({ object: 'list', data }));
  }

  private async handlePeer(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { handlePeer } = this.options.handlers;
    const responseBody = await handlePeerMessage(message, this.getBodyLimits(), handlePeer);
    this.closeIfIncomplete(message, response);
    send(response, responseBody === undefined ? 403 : 200, JSON_HEADERS, responseBody ?? '{}');
  }

  private async handleCaller(
    message: IncomingMessage,
    response: ServerResponse,
    path: string,
    query: string,
  ): Promise<void> {
    const { timers, handlers } = this.options;
    const arrivedAt = timers.now();
    const callerResponse = new NodeResponse(response);
    if (this.isDraining) {
      this.refuseDraining(callerResponse, response, message, arrivedAt);
      return;
    }
    this.openResponses.add(response);
    // A caller that disconnects during a write is not a router error.
    response.on('error', () => {});
    response.on('close', () => this.onResponseClose(response));
    const callerAbort = new AbortController();
    response.on('close', () => callerAbort.abort());
    const body = await readBody(message, this.getBodyLimits());
    if (body.err) {
      response.setHeader('connection', 'close');
      this.closeIfIncomplete(message, response);
      this.endRequest(callerResponse, body, message, arrivedAt);
      return;
    }
    const { bytes, release } = body.val;
    response.once('close', release);
    // The stop may have begun while the body arrived.
    if (this.isDraining) {
      this.refuseDraining(callerResponse, response, message, arrivedAt);
      return;
    }
    const exchange = new Exchange(
      {
        method: message.method ?? 'GET',
        path,
        query,
        headers: message.headers as Record<string, string | undefined>,
        body: bytes,
        signal: callerAbort.signal,
      },
      callerResponse,
      arrivedAt,
    );
    const result = await this.tryHandle(handlers, exchange);
    this.endRequest(callerResponse, result, message, arrivedAt, exchange);
  }

  private refuseDraining(
    callerResponse: NodeResponse,
    response: ServerResponse,
    message: IncomingMessage,
    arrivedAt: number,
  ): void {
    response.setHeader('connection', 'close');
    this.closeIfIncomplete(message, response);
    const refusal = createRefusal('draining', { retryAfterMs: DRAINING_RETRY_AFTER_MS });
    this.endRequest(callerResponse, Err(refusal), message, arrivedAt);
  }

  private async tryHandle(handlers: ServerHandlers, exchange: Exchange): Promise<FilterResult> {
    try {
      return await handlers.handleCaller(exchange);
    } catch (error) {
      const { logger } = this.options;
      logger.error('request handler failed', {
        request: exchange.id,
        error: (error as Error).stack,
      });
      if (exchange.response.isHeadSent()) {
        exchange.response.destroy();
      }
      return Err(createRefusal('internal'));
    }
  }

  /** Sends the refusal, if any, unless the response has started; records the result in metrics and log. */
  private endRequest(
    response: NodeResponse,
    result: FilterResult,
    message: IncomingMessage,
    arrivedAt: number,
    exchange?: Exchange,
  ): void {
    const { metrics, logger, timers } = this.options;
    const refusal = result.err ? result.val : undefined;
    const service = exchange?.permission?.service.name ?? '';
    const name = refusal?.name ?? 'ok';
    metrics.requests.inc({ service, result: name });
    if (refusal) {
      metrics.refusals.inc({ reason: refusal.name });
      if (!response.isHeadSent()) {
        this.sendRefusal(response, refusal);
      }
    }
    logger.info('request ended', {
      request: exchange?.id,
      path: message.url,
      result: name,
      code: refusal ? codes[refusal.name].code : undefined,
      workspace: exchange?.key?.workspace,
      durationMs: timers.now() - arrivedAt,
    });
  }

  private sendRefusal(response: NodeResponse, refusal: Refusal): void {
    const body = JSON.stringify(createErrorBody(refusal));
    response.send(getErrorStatus(refusal), getErrorHeaders(refusal), body);
  }

  private getBodyLimits() {
    const { bodyBytes, bodyTimeoutMs } = this.options.settings.limits;
    return { timers: this.options.timers, bodyBytes, bodyTimeoutMs, bounds: this.bounds };
  }

  private closeIfIncomplete(message: IncomingMessage, response: ServerResponse): void {
    if (!message.complete) {
      closeAfterResponse(message, response, {
        timers: this.options.timers,
        onLimit: () => this.bounds.count('linger'),
      });
    }
  }

  private onResponseClose(response: ServerResponse): void {
    this.openResponses.delete(response);
    this.resolveIfDrained();
  }

  private resolveIfDrained(): void {
    if (this.isDraining && this.openResponses.size === 0) {
      this.drained.resolve();
    }
  }
}

function send(
  response: ServerResponse,
  status: number,
  headers: Readonly<Record<string, string>>,
  body: string,
): void {
  response.writeHead(status, headers);
  response.end(body);
}
