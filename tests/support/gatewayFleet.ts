/** A gateway on loopback sockets, with an in-memory store and endpoints whose responses the test defines. */
import { once } from 'node:events';
import {
  createServer,
  request,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import { decodeEndpointEntry } from '../../platform/endpointEntry.js';
import { PlatformHeaders } from '../../platform/headerCodec.js';
import { Err, Ok, type Result } from '../../src/core/results.js';
import { createLogger } from '../../src/core/logging.js';
import { createMetrics } from '../../src/core/metrics.js';
import { SystemTimers, VirtualTimers } from '../../src/core/timers.js';
import { getSha256 } from '../../src/core/utilities.js';
import { Gateway } from '../../src/gateway/gateway.js';
import { HttpPeerClient } from '../../src/peers/peerRpc.js';
import type { GatewayConfig, Route, WarmupConfig } from '../../src/types/gateway.js';
import { brandId, type ServiceName } from '../../src/types/ids.js';
import {
  KeyedStore,
  type KeyedAppendOptions,
  type KeyedPage,
  type KeyedReadOptions,
  type NewestRecords,
  type StoreFailure,
  type Topic,
} from '../../src/types/store.js';
import { FakeStoreServer } from './fakeStore.js';

const SERVICE: ServiceName = brandId('engines');
const CONFIG_TOPIC = { name: 'config', part: 0 };
const ENDPOINT_TOPIC = { name: 'endpoints', part: 0 };
const CALL_INTERVAL_MS = 50;
const SETTLE_MS = 200;
const UNAVAILABLE = { kind: 'unavailable', detail: 'simulated' } as const;
const POISON_TOPIC = { name: 'poison', part: 0 };
const STREAM_TOPIC = { name: 'streams', part: 0 };
/** The host of all routes. */
export const HOST = 'yard.example';

/** The default caller key of the workspace in `GatewayFleet.configure`. */
export const CALLER_KEY = 'yard-key';

/** Responds at once; a waiting read ends with the next append. */
class MemoryStore extends KeyedStore {
  private readonly server = new FakeStoreServer(new VirtualTimers());

  private readonly waitingReads = new Set<() => void>();

  /** The name of a topic whose calls fail. */
  unavailableTopic: string | undefined;

  readNewest(topic: Topic): Promise<Result<NewestRecords, StoreFailure>> {
    if (topic.name === this.unavailableTopic) {
      return Promise.resolve(Err(UNAVAILABLE));
    }
    return Promise.resolve(this.server.readNewest(topic));
  }

  async read(options: KeyedReadOptions): Promise<Result<KeyedPage, StoreFailure>> {
    if (options.waitMs > 0 && this.server.getRecords(options.topic).length === options.from) {
      await new Promise<void>((resolve) => {
        this.waitingReads.add(resolve);
      });
    }
    return this.server.read(options);
  }

  append(options: KeyedAppendOptions): Promise<Result<never, StoreFailure>> {
    if (options.topic.name === this.unavailableTopic) {
      return Promise.resolve(Err(UNAVAILABLE));
    }
    const result = this.server.append(options);
    this.resolveWaitingReads();
    return Promise.resolve(result as Result<never, StoreFailure>);
  }

  /** Appends a record at the current end of the topic. */
  put(topic: Topic, key: string, value: string): void {
    const at = this.server.getRecords(topic).length as never;
    this.server.append({ topic, key, value: Buffer.from(value), at });
    this.resolveWaitingReads();
  }

  /** Appends a record that removes a key, at the current end of the topic. */
  remove(topic: Topic, key: string): void {
    const at = this.server.getRecords(topic).length as never;
    this.server.append({ topic, key, value: undefined, at });
    this.resolveWaitingReads();
  }

  /** Returns the keys that have a value. */
  getKeys(topic: Topic): string[] {
    const { records } = this.server.readNewest(topic).unwrap();
    return records.flatMap(({ key, value }) => (value ? [key] : []));
  }

  removeAll(topic: Topic): void {
    this.getKeys(topic).forEach((key) => this.remove(topic, key));
  }

  resolveWaitingReads(): void {
    this.waitingReads.forEach((resolve) => resolve());
    this.waitingReads.clear();
  }
}

/** Handles a call to a test endpoint. */
export type EndpointHandler = (message: IncomingMessage, response: ServerResponse) => void;

/** A test endpoint with the calls that it received. */
export interface TestEndpoint {
  readonly id: string;
  readonly address: string;
  readonly calls: IncomingMessage[];
  /** The responses to `calls`. */
  readonly responses: ServerResponse[];
}

/** The response received by a caller. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Whether the response ended properly. */
  readonly isComplete: boolean;
}

/** Creates the entry of a ready endpoint, as it is stored. */
export function createEntryFields(address: string): Readonly<Record<string, unknown>> {
  const fields = { zone: 'z', version: 'v1', slots: 8, state: 'ready', seq: 1, born: 1 };
  return { service: SERVICE, address, ...fields };
}

/** Creates a route; by default its calls are neither streamed nor repeatable. */
export function createRoute(prefix: string, fields: Partial<Route> = {}): Route {
  return {
    name: brandId(prefix),
    host: HOST,
    prefix,
    split: [{ service: SERVICE, weight: 1 }],
    isStream: false,
    repeatability: 'once',
    attempts: 1,
    timeoutMs: 5_000,
    latencyTargetMs: 300,
    eventGapTargetMs: 0,
    rank: 0,
    isPublic: false,
    ...fields,
  };
}

/** One gateway, its store and its endpoints. */
export class GatewayFleet {
  /** The service of all endpoints. */
  readonly service = SERVICE;

  /** How endpoints warm up, from the next configuration on. */
  warmup: WarmupConfig | undefined;

  private readonly timers = new SystemTimers();

  private readonly metrics = createMetrics();

  private readonly servers: Server[] = [];

  readonly gateway: Gateway;

  private port = 0;

  private readinessPort = 0;

  private version = 0;

  private markerCount = 0;

  private constructor(
    private readonly ports: readonly number[],
    private readonly store: MemoryStore,
    index: number,
  ) {
    const { timers } = this;
    const address = (offset: number) => ({ host: '127.0.0.1', port: ports[offset]! });
    const client = new HttpPeerClient({ sharedKey: 'k'.repeat(16), getAddress: () => undefined });
    this.gateway = new Gateway({
      deployment: {
        vm: brandId(`vm${index}`),
        availabilityZone: brandId('z'),
        callerAddress: address(0),
        readinessAddress: address(1),
        peerAddress: address(2),
        seeds: [],
        storeAddress: address(0),
        graceMs: 4_000,
        cores: 16, // callers and endpoints use the processor time of the same process
        retryRatio: 1,
        retryBurst: 100,
        retryWindowMs: 10_000,
        endpointHeartbeatMs: 1_200,
        endpointDrainMs: 2_000,
        silenceDetectionMs: 3_000,
        memoryMb: 512,
        maxFds: 4_096,
      },
      platform: {
        store: this.store,
        codec: new PlatformHeaders(),
        decodeConfig: (bytes) => Ok(JSON.parse(Buffer.from(bytes).toString()) as GatewayConfig),
        decodeEndpoint: decodeEndpointEntry,
        configTopic: CONFIG_TOPIC,
        configKey: 'config',
        evacuationKeyPrefix: 'evacuate/',
        endpointTopic: ENDPOINT_TOPIC,
        accountTopic: 'accounts',
        poisonTopic: POISON_TOPIC,
        streamTopic: STREAM_TOPIC,
        readinessPath: '/ready',
      },
      timers,
      logger: createLogger({ level: 'error' }),
      metrics: this.metrics,
      run: brandId(`run${index}`),
      sharedKey: 'k'.repeat(16),
      createPeerClient: () => client,
    });
  }

  /** Starts a gateway, which stops at the end of the test. */
  static start(context: TestContext): Promise<GatewayFleet> {
    return GatewayFleet.startOn(context, new MemoryStore(), 1);
  }

  /** Starts another gateway on the same store, and waits until it serves; it stops at the end of the test. */
  async startPeer(context: TestContext, index: number): Promise<GatewayFleet> {
    const peer = await GatewayFleet.startOn(context, this.store, index);
    const { gateway } = peer;
    await this.waitFor(() => gateway.config.getVersion() === this.version);
    await this.waitFor(() => gateway.directory.getSize() === this.gateway.directory.getSize());
    await this.waitFor(() => gateway.escrow.isReady());
    return peer;
  }

  private static async startOn(
    context: TestContext,
    store: MemoryStore,
    index: number,
  ): Promise<GatewayFleet> {
    const ports = await Promise.all([findFreePort(), findFreePort(), findFreePort()]);
    const fleet = new GatewayFleet(ports, store, index);
    context.after(() => fleet.close());
    fleet.port = await fleet.gateway.start();
    [, fleet.readinessPort = 0] = ports;
    return fleet;
  }

  /** Stores a configuration and waits until it is active. */
  async configure(
    routes: readonly Route[],
    prepaidTokens = 100_000,
    key = CALLER_KEY,
  ): Promise<void> {
    this.version += 1;
    const config: GatewayConfig = {
      version: this.version,
      routes,
      services: [
        {
          name: SERVICE,
          maxConnections: 100,
          engine: { slots: 8, cacheTokens: 1_000, tokensPerEvent: 5 },
          warmup: this.warmup,
        },
      ],
      workspaces: [
        {
          name: brandId('yard'),
          keyHashes: [getSha256(key)],
          prepaidTokens,
          rank: undefined,
        },
      ],
      limits: {
        headerBytes: 16_384,
        bodyBytes: 10_000,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
    };
    this.store.put(CONFIG_TOPIC, 'config', JSON.stringify(config));
    await this.waitFor(() => this.gateway.config.getVersion() === this.version);
    await this.waitFor(() => this.gateway.escrow.isReady());
  }

  /** Starts an endpoint and stores its entry. */
  async addEndpoint(
    id: string,
    handle: EndpointHandler,
    fields: Readonly<Record<string, unknown>> = {},
  ): Promise<TestEndpoint> {
    const calls: IncomingMessage[] = [];
    const responses: ServerResponse[] = [];
    const server = createServer((message, response) => {
      calls.push(message);
      responses.push(response);
      message.resume();
      message.on('end', () => handle(message, response));
    });
    this.servers.push(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    await this.listEndpoint(id, port, fields);
    return { id, address: `127.0.0.1:${port}`, calls, responses };
  }

  /** Stores the entry of an endpoint that listens on a port. */
  async listEndpoint(
    id: string,
    port: number,
    fields: Readonly<Record<string, unknown>> = {},
  ): Promise<void> {
    const size = this.gateway.directory.getSize();
    const entry = { ...createEntryFields(`127.0.0.1:${port}`), ...fields };
    this.putEndpointEntry(id, JSON.stringify(entry));
    await this.waitFor(() => this.gateway.directory.getSize() > size);
  }

  /** Stores text under a key of the configuration's topic. */
  putOperatorRecord(key: string, text: string): void {
    this.store.put(CONFIG_TOPIC, key, text);
  }

  /** Makes the software versions of all endpoints unknown, as for entries learned from a gateway that does not read them. */
  forgetVersions(): void {
    const { directory } = this.gateway;
    directory.getEntries().forEach((entry) => {
      directory.apply({ ...entry, softwareVersion: undefined }, entry.offset);
    });
  }

  /** Removes the records of streams, as a process that was killed early leaves none. */
  removeStreamRecords(): void {
    this.store.removeAll(STREAM_TOPIC);
  }

  /** Returns the number of records of streams. */
  countStreamRecords(): number {
    return this.store.getKeys(STREAM_TOPIC).length;
  }

  /** Refuses all calls to the store for the records of streams, or accepts them again. */
  setStreamRecordsUnavailable(isUnavailable: boolean): void {
    this.store.unavailableTopic = isUnavailable ? STREAM_TOPIC.name : undefined;
  }

  /** Removes a key of the configuration's topic. */
  removeOperatorRecord(key: string): void {
    this.store.remove(CONFIG_TOPIC, key);
  }

  /** Stores text under the id of an endpoint. */
  putEndpointEntry(id: string, text: string): void {
    this.store.put(ENDPOINT_TOPIC, id, text);
  }

  /** Waits until the gateway has applied all stored entries, by the last of them: one of another service. */
  async waitForEntries(): Promise<void> {
    this.markerCount += 1;
    const id = `marker-${this.markerCount}`;
    const fields = { ...createEntryFields('127.0.0.1:1'), service: 'other' };
    this.putEndpointEntry(id, JSON.stringify(fields));
    await this.waitFor(() => this.gateway.directory.getEntries().some((entry) => entry.id === id));
  }

  /** Removes the entry of an endpoint; its server keeps running. */
  removeEndpoint(id: string): void {
    this.store.remove(ENDPOINT_TOPIC, id);
  }

  /** Sends a call and reads the complete response. */
  call(
    path: string,
    headers: Readonly<Record<string, string>> = {},
    body = 'body',
  ): Promise<CallerResponse> {
    return new Promise((resolve, reject) => {
      const clientRequest = request({
        host: '127.0.0.1',
        port: this.port,
        method: 'POST',
        path,
        agent: false,
        headers: {
          host: HOST,
          'shallotrock-attempt-id': `call-${Math.random()}`,
          'shallotrock-credential': CALLER_KEY,
          ...headers,
        },
      });
      clientRequest.on('error', reject);
      clientRequest.on('response', (response) => {
        const chunks: Buffer[] = [];
        const finish = () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
            isComplete: response.complete,
          });
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', finish);
        response.on('error', finish);
      });
      clientRequest.end(body);
    });
  }

  /** Sends a call on a new connection and closes the connection before the gateway can have read it. */
  async callAndDisconnect(path: string): Promise<void> {
    const socket = connect(this.port, '127.0.0.1');
    await once(socket, 'connect');
    const head = [
      `POST ${path} HTTP/1.1`,
      `host: ${HOST}`,
      'shallotrock-attempt-id: left',
      `shallotrock-credential: ${CALLER_KEY}`,
      'content-length: 4',
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\nbody`);
    socket.destroy();
  }

  /** Sends identical calls one after another and returns their statuses. */
  async callSequentially(
    count: number,
    path: string,
    headers: Readonly<Record<string, string>>,
  ): Promise<number[]> {
    const statuses: number[] = [];
    while (statuses.length < count) {
      statuses.push((await this.call(path, headers)).status);
    }
    return statuses;
  }

  /** Returns the number of calls that ended with a result. */
  async countRequests(result: string): Promise<number> {
    const { values } = await this.metrics.requests.get();
    const counted = values.filter(({ labels }) => labels.result === result);
    return counted.reduce((sum, { value }) => sum + value, 0);
  }

  /** Returns the number of calls refused for a reason. */
  async countRefusals(reason: string): Promise<number> {
    const { values } = await this.metrics.refusals.get();
    return values.find(({ labels }) => labels.reason === reason)?.value ?? 0;
  }

  /** Returns the port for callers. */
  getPort(): number {
    return this.port;
  }

  /** Sends calls until one gets the status. */
  async callUntil(path: string, status: number): Promise<void> {
    while ((await this.call(path)).status !== status) {
      await this.timers.sleep(CALL_INTERVAL_MS);
    }
  }

  /** Gives the gateway time to act on everything that was sent to it. */
  settle(): Promise<void> {
    return this.timers.sleep(SETTLE_MS);
  }

  /** Returns the current time of the gateway's clock. */
  now(): number {
    return this.timers.now();
  }

  /** Returns the status of the readiness endpoint. */
  async getReadiness(): Promise<number> {
    const response = await fetch(`http://127.0.0.1:${this.readinessPort}/ready`);
    await response.text();
    return response.status;
  }

  /** Waits until a condition is met; limited only by the timeout of the test. */
  async waitFor(isMet: () => boolean): Promise<void> {
    while (!isMet()) {
      // Lets the event loop run, which changes the state.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  /** Waits until the gateway has assessed every crash that it noticed. */
  async waitForCrashes(): Promise<void> {
    await this.waitFor(() => this.gateway.poison.isIdle());
  }

  private async close(): Promise<void> {
    this.servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
    const stopped = this.gateway.stop();
    this.store.resolveWaitingReads();
    await stopped;
    this.store.resolveWaitingReads();
  }
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

/** Sends a buffered response with the headers of a valid endpoint. */
export function sendResponse(
  message: IncomingMessage,
  response: ServerResponse,
  body: string,
  status = 200,
): void {
  response.writeHead(status, {
    'shallotrock-attempt-id': message.headers['shallotrock-attempt-id'],
    'shallotrock-instance-seal': 'seal',
  });
  response.end(body);
}

/** Sends events of a stream with the headers of a valid endpoint; does not end the stream. */
export function sendEvents(
  message: IncomingMessage,
  response: ServerResponse,
  ids: readonly number[],
): void {
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'shallotrock-attempt-id': message.headers['shallotrock-attempt-id'],
    'shallotrock-instance-seal': 'seal',
  });
  response.write(ids.map((id) => `id: ${id}\ndata: t${id}\n\n`).join(''));
}
