/** The HTTP listeners of a gateway: for callers, for readiness and metrics, and for peers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService } from '../core/timers.js';
import { createRefusal, type Refusal } from '../core/codes.js';
import { createDeferred, getErrorMessage, readPendingInput } from '../core/utilities.js';
import { PEER_PATH } from '../peers/peerRpc.js';
import { handlePeerMessage, type PeerMessageHandler } from '../server/handlePeerMessage.js';
import type { CallerBounds } from '../server/callerBounds.js';
import { ConnectionLimit } from '../server/connectionLimit.js';
import { ConnectionQueue } from '../server/connectionQueue.js';
import { cutResponse } from '../server/cutResponse.js';
import { createErrorBody, getErrorStatus } from '../server/errorBody.js';
import { closeAfterResponse } from '../server/lingeringClose.js';
import { readBody } from '../server/readBody.js';
import type { Address, CallerLimits, HeaderCodec } from '../types/gateway.js';
import { GatewayCall, type CallOutcome } from './call.js';
import { CallerConnection } from './callerConnection.js';
import { createDrainingRefusal } from './stopPolicy.js';

/** Callbacks of the server. */
export interface GatewayHandlers {
  readonly handleCall: (call: GatewayCall) => Promise<CallOutcome>;
  /** Returns why the gateway is not ready, or `undefined` if it is. */
  readonly getNotReadyReason: () => string | undefined;
  /** Returns whether callers should send their next call to another process. */
  readonly isOverloaded: () => boolean;
  /** Returns the refusal of a call that would be served too late, or `undefined` if the call is admitted. */
  readonly shedCall: (message: IncomingMessage, callsInProgress: number) => Refusal | undefined;
  readonly handlePeer: PeerMessageHandler;
}

/** Options of the server. */
export interface GatewayServerOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly codec: HeaderCodec;
  readonly handlers: GatewayHandlers;
  readonly callerAddress: Address;
  readonly readinessAddress: Address;
  readonly peerAddress: Address;
  readonly readinessPath: string;
  readonly bounds: CallerBounds;
}

const METRICS_PATH = '/metrics';
const PEER_BODY_BYTES_MAX = 4_194_304;
const BODY_TIMEOUT_MS = 10_000;
const LIMITS_BEFORE_CONFIG: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 60_000,
};
const IDLE_MARGIN_MS = 2_000; // avoids closing an idle connection while a caller sends a call on it
const LISTEN_BACKLOG = 1_024; // many callers may connect at once; with a full backlog they wait for seconds
const HEADER_BYTES_MARGIN = 2; // heads somewhat over the limit get a refusal that says why
const SHORT_BODY_BYTES = 65_536;
const INTERNAL_HEADER_BYTES_MAX = 16_384;
const INTERNAL_TIMEOUT_MS = 10_000; // for the requests of peers and of the balancer
const CLOSE_TIMEOUT_MS = 100; // enough to write the refusals in progress

/** Accepts calls and peer messages, and enforces the limits on callers. */
export class GatewayServer {
  private readonly callerListener: Server;

  private readonly readinessListener: Server;

  private readonly peerListener: Server;

  private readonly openResponses = new Set<ServerResponse>();

  private readonly connections = new ConnectionQueue();

  /** Number of calls in flight whose heads were not refused. */
  private admittedCalls = 0;

  private limits = LIMITS_BEFORE_CONFIG;

  private isClosing = false;

  private isDraining = false;

  private drained = createDeferred<void>();

  constructor(private readonly options: GatewayServerOptions) {
    this.callerListener = this.createListener((message, response) =>
      this.handleCaller(message, response),
    );
    this.readinessListener = this.createListener((message, response) =>
      this.handleReadiness(message, response),
    );
    this.peerListener = this.createListener((message, response) =>
      this.handlePeer(message, response),
    );
    this.applyLimits(LIMITS_BEFORE_CONFIG);
    this.applyBounds();
    this.connections.watch(this.callerListener);
  }

  /** Starts listening; resolves with the port for callers. */
  async listen(): Promise<number> {
    const { callerAddress, readinessAddress, peerAddress } = this.options;
    await Promise.all([
      listenOn(this.callerListener, callerAddress),
      listenOn(this.readinessListener, readinessAddress),
      listenOn(this.peerListener, peerAddress),
    ]);
    return (this.callerListener.address() as AddressInfo).port;
  }

  /** Applies the limits of a configuration, also to open connections. */
  applyLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.callerListener.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    // Node measures this from the opening of a connection, which may be idle at first.
    this.callerListener.headersTimeout = limits.idleTimeoutMs + limits.headerTimeoutMs;
    this.callerListener.requestTimeout = 0;
    setHeaderBytesMax(this.callerListener, HEADER_BYTES_MARGIN * limits.headerBytes);
  }

  /** Closes each connection after its next response from now on. */
  startClosing(): void {
    this.isClosing = true;
  }

  /** Returns the number of calls in flight. */
  getOpenCalls(): number {
    return this.openResponses.size;
  }

  /** Refuses calls that arrive from now on; those in flight continue. */
  startDraining(): void {
    this.isClosing = true;
    this.isDraining = true;
  }

  /**
   * Refuses new calls and closes idle connections; resolves when no call is in flight. Keeps listening, because closing
   * the listener would reset connections in the backlog.
   */
  async drain(): Promise<void> {
    this.startDraining();
    // After an event loop stall, connections that seem idle may hold calls.
    await readPendingInput();
    this.connections.closeIdle();
    this.checkDrained();
    await this.drained.promise;
  }

  /** Stops listening, waits for refusals in progress, and closes all connections. */
  async close(): Promise<void> {
    await readPendingInput();
    this.callerListener.close();
    this.callerListener.closeIdleConnections();
    this.drained = createDeferred<void>();
    this.checkDrained();
    await this.options.timers.isFulfilledWithin(this.drained.promise, CLOSE_TIMEOUT_MS);
    this.connections.closeAll();
    [this.callerListener, this.readinessListener, this.peerListener].forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  private createListener(
    handle: (message: IncomingMessage, response: ServerResponse) => Promise<void>,
  ): Server {
    return createServer({ noDelay: true }, (message, response) => {
      if (message.socket.destroyed) {
        return;
      }
      handle(message, response).catch((error: unknown) => {
        this.options.logger.error('unexpected error while handling a request', {
          error: (error as Error).stack,
        });
        cutResponse(response);
      });
    });
  }

  private applyBounds(): void {
    const { count, callerConnections, peerConnections, readinessConnections } = this.options.bounds;
    const watch = (server: Server, connectionsMax: number) =>
      new ConnectionLimit({ connectionsMax, count }).watch(server);
    watch(this.callerListener, callerConnections);
    watch(this.peerListener, peerConnections);
    watch(this.readinessListener, readinessConnections);
    [this.peerListener, this.readinessListener].forEach((server) => {
      server.headersTimeout = INTERNAL_TIMEOUT_MS;
      server.requestTimeout = 2 * INTERNAL_TIMEOUT_MS;
      setHeaderBytesMax(server, INTERNAL_HEADER_BYTES_MAX);
    });
  }

  /** Prepares the connection for a refusal; to be called before the response is sent. */
  private closeAfterResponse(message: IncomingMessage, response: ServerResponse): void {
    const { timers, bounds } = this.options;
    closeAfterResponse(message, response, {
      timers,
      onLimit: () => bounds.count('linger'),
    });
  }

  private async handleReadiness(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { readinessPath, metrics, handlers } = this.options;
    const [path] = (message.url ?? '').split('?');
    if (isBodyLong(message)) {
      this.closeAfterResponse(message, response);
    }
    if (path === METRICS_PATH) {
      const { registry } = metrics;
      response.writeHead(200, { 'content-type': registry.contentType });
      response.end(await registry.metrics());
      return;
    }
    if (path !== readinessPath) {
      response.writeHead(404).end();
      return;
    }
    const reason = handlers.getNotReadyReason();
    response.writeHead(reason === undefined ? 200 : 503).end(reason);
  }

  private async handlePeer(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { timers, handlers, bounds } = this.options;
    const limits = {
      timers,
      bodyBytes: PEER_BODY_BYTES_MAX,
      bodyTimeoutMs: BODY_TIMEOUT_MS,
      bounds,
    };
    const responseBody = await handlePeerMessage(message, limits, async (body, signature) =>
      message.url === PEER_PATH ? handlers.handlePeer(body, signature) : undefined,
    );
    if (!message.complete) {
      this.closeAfterResponse(message, response);
    }
    response.writeHead(responseBody === undefined ? 403 : 200, {
      'content-type': 'application/json',
    });
    response.end(responseBody ?? '{}');
  }

  private async handleCaller(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { timers, codec } = this.options;
    const arrivedAt = timers.now();
    const caller = new CallerConnection(
      response,
      () => this.isClosing || this.options.handlers.isOverloaded(),
    );
    const queued = this.connections.add(message.socket, response);
    this.openResponses.add(response);
    const isConnectionOpen = await queued.turn;
    queued.ended.then(() => this.onResponseEnd(response));
    if (!isConnectionOpen) {
      this.drop(message);
      return;
    }
    const refusal = this.checkHead(message);
    if (refusal) {
      if (isBodyLong(message)) {
        this.closeAfterResponse(message, response);
      }
      this.refuse(caller, refusal);
      return;
    }
    const shedRefusal = this.options.handlers.shedCall(message, this.admittedCalls);
    if (shedRefusal) {
      // Closes the connection, so that the caller's next call reaches another process.
      this.closeAfterResponse(message, response);
      this.refuse(caller, shedRefusal);
      return;
    }
    this.admittedCalls += 1;
    queued.ended.then(() => {
      this.admittedCalls -= 1;
    });
    const body = await this.readCallerBody(message, response);
    if (body.err) {
      this.closeAfterResponse(message, response);
      this.refuse(caller, body.val);
      return;
    }
    const metadata = codec.readCall(message.rawHeaders);
    if ('field' in metadata) {
      this.refuse(caller, createRefusal('invalidHeader', metadata));
      return;
    }
    const target = message.url ?? '/';
    const bytes = body.val.bytes as Buffer;
    const call = new GatewayCall(
      metadata,
      message.method ?? 'GET',
      target,
      bytes,
      caller,
      arrivedAt,
    );
    this.finish(call, await this.options.handlers.handleCall(call));
  }

  private checkHead({ rawHeaders, headers }: IncomingMessage): Refusal | undefined {
    if (this.isDraining) {
      return createDrainingRefusal();
    }
    const headerBytes = rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
    if (headerBytes > this.limits.headerBytes) {
      return createRefusal('headersTooLarge');
    }
    if (Number(headers['content-length'] ?? 0) > this.limits.bodyBytes) {
      this.options.bounds.count('bodyTooLarge');
      return createRefusal('bodyTooLarge');
    }
    return undefined;
  }

  private async readCallerBody(message: IncomingMessage, response: ServerResponse) {
    const { timers, bounds } = this.options;
    const { bodyBytes } = this.limits;
    const limits = { timers, bodyBytes, bodyTimeoutMs: BODY_TIMEOUT_MS, bounds };
    const body = await readBody(message, limits);
    if (body.ok) {
      const { release } = body.val;
      // A connection that closed before emits no further event.
      if (response.closed) {
        release();
      } else {
        response.once('close', release);
      }
    }
    return body;
  }

  /** Drops a request whose connection closes after an earlier response: no response to it can be sent. */
  private drop({ url, rawHeaders }: IncomingMessage): void {
    const { codec, logger, metrics } = this.options;
    const metadata = codec.readCall(rawHeaders);
    metrics.requests.inc({ service: '', result: 'dropped' });
    logger.info('call dropped: its connection closes after an earlier response', {
      request: 'field' in metadata ? undefined : metadata.id,
      target: url,
    });
  }

  /** Sends the refusal, if any, and records the outcome in metrics and log. */
  private finish(call: GatewayCall, refusal: CallOutcome): void {
    const { timers, metrics, logger } = this.options;
    const { metadata, caller, workspace, route, service } = call;
    const durationMs = timers.now() - call.arrivedAt;
    const isAbandoned = !refusal && caller.isDisconnected();
    const result = refusal?.name ?? (isAbandoned ? 'callerLeft' : 'ok');
    metrics.requests.inc({ service: service ?? '', result });
    if (refusal) {
      this.refuse(caller, refusal);
    }
    logger.info('call ended', {
      request: metadata.id,
      route: route?.name,
      workspace: workspace?.name,
      service,
      config: call.activeConfig?.config.version,
      result,
      detail: refusal?.detail,
      retryAfterMs: refusal?.retryAfterMs,
      attempts: call.attempts,
      ...(route?.isStream ? getStreamFields(call) : {}),
      promptParts: metadata.promptParts.map(({ id }) => id),
      hold: call.hold?.tokens,
      holdGrantedAfterMs: call.holdGrantedAfterMs,
      firstEventAfterMs: call.firstEventAfterMs,
      deliveredTokens: call.deliveredTokens,
      durationMs: Math.round(durationMs),
    });
  }

  private refuse(caller: CallerConnection, refusal: Refusal): void {
    this.options.metrics.refusals.inc({ reason: refusal.name });
    if (caller.isHeadSent() || caller.isDisconnected()) {
      return;
    }
    const headers = [
      'content-type',
      'application/json',
      ...this.options.codec.createRefusalHeaders(refusal.retryAfterMs),
    ];
    const body = Buffer.from(JSON.stringify(createErrorBody(refusal)));
    caller.send(getErrorStatus(refusal), headers, body);
  }

  private onResponseEnd(response: ServerResponse): void {
    this.openResponses.delete(response);
    this.checkDrained();
  }

  private checkDrained(): void {
    if (this.openResponses.size === 0 && this.isDraining) {
      this.drained.resolve();
    }
  }
}

/** Returns the fields of the log that show at which software versions a stream began and went on. */
function getStreamFields({ metadata, attemptVersions }: GatewayCall) {
  const { resumedCallId: resumes, lastEventId } = metadata;
  return { versions: attemptVersions, resumes, lastEventId };
}

/** Node reads the value for each new connection, but declares it for the creation of a server only. */
function setHeaderBytesMax(server: Server, bytes: number): void {
  Object.assign(server, { maxHeaderSize: bytes });
}

/** Returns whether the rest of a request may be long; Node's server reads and discards a short one. */
function isBodyLong({ headers }: IncomingMessage): boolean {
  return (
    headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) > SHORT_BODY_BYTES
  );
}

function listenOn(server: Server, { host, port }: Address): Promise<void> {
  const listening = createDeferred<void>();
  server.once('error', (error) => listening.reject(new Error(getErrorMessage(error))));
  server.listen({ host, port, backlog: LISTEN_BACKLOG }, () => listening.resolve());
  return listening.promise;
}
