/** JSON-RPC 2.0 between routers over HTTP, each message signed with the shared key. */
import { createHmac, timingSafeEqual } from 'node:crypto';
import { Agent, request } from 'node:http';
import {
  createJSONRPCRequest,
  JSONRPCErrorException,
  JSONRPCServer,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import { ByteCollector } from '../core/byteCollector.js';
import type { VmId } from '../types/ids.js';
import { PeerClient, type PeerMethod, type PeerMethods } from '../types/peers.js';

/** Path to which peers post their messages. */
export const PEER_PATH = '/internal/rpc';
/** Header with the signature of a message. */
export const SIGNATURE_HEADER = 'x-shallotrock-signature';

const DEFAULT_TIMEOUT_MS = 500;
const RESPONSE_BYTES_MAX = 8 * 1_048_576; // fits a configuration with thousands of routes in base64
const CONNECTIONS_MAX = 16; // enough for a burst of holds waiting at one home; a home has file descriptors for 200 such vms

/** Returns the signature of a message body: its HMAC-SHA256 in hexadecimal. */
export function getSignature(sharedKey: string, body: string): string {
  return createHmac('sha256', sharedKey).update(body).digest('hex');
}

/** Returns whether a signature matches the body and the shared key; compares in constant time. */
export function isSignatureValid(sharedKey: string, body: string, signature: string): boolean {
  const expected = Buffer.from(getSignature(sharedKey, body));
  const actual = Buffer.from(signature);
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}

/** Options of the peer client. */
export interface HttpPeerClientOptions {
  readonly sharedKey: string;
  readonly getAddress: (peer: VmId) => string | undefined;
  /** Timeout of a call, in milliseconds. Default 500. */
  readonly timeoutMs?: number;
}

/** Calls peers over HTTP. A call that times out closes its connection. */
export class HttpPeerClient extends PeerClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS_MAX });

  private nextId = 0;

  constructor(private readonly options: HttpPeerClientOptions) {
    super();
  }

  override async call<Method extends PeerMethod>(
    peer: VmId,
    method: Method,
    params: PeerMethods[Method]['params'],
    timeoutMs = this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
  ): Promise<PeerMethods[Method]['result']> {
    this.nextId += 1;
    // The library's client costs several promises and a map entry for each call, which pays only for batches.
    const message = createJSONRPCRequest(this.nextId, method, params);
    const { error, result } = await this.post(peer, message, timeoutMs);
    if (error) {
      throw new JSONRPCErrorException(error.message, error.code, error.data);
    }
    return result as PeerMethods[Method]['result'];
  }

  /** Closes all connections. */
  close(): Promise<void> {
    this.agent.destroy();
    return Promise.resolve();
  }

  private async post(
    peer: VmId,
    message: JSONRPCRequest,
    timeoutMs: number,
  ): Promise<JSONRPCResponse> {
    const { sharedKey, getAddress } = this.options;
    const address = getAddress(peer);
    if (!address) {
      throw new Error(`no address known for peer ${peer}`);
    }
    const body = JSON.stringify(message);
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      [SIGNATURE_HEADER]: getSignature(sharedKey, body),
    };
    const url = `http://${address}${PEER_PATH}`;
    const received = await this.sendRequest(url, headers, body, timeoutMs);
    const response = JSON.parse(received) as JSONRPCResponse;
    if (response.id !== message.id) {
      throw new Error('the response belongs to another message');
    }
    return response;
  }

  /** The timeout covers the complete response, since a connection may stop delivering data at any point. */
  private sendRequest(
    url: string,
    headers: Readonly<Record<string, string | number>>,
    body: string,
    timeoutMs: number,
  ): Promise<string> {
    const signal = AbortSignal.timeout(timeoutMs);
    return new Promise((resolve, reject) => {
      const clientRequest = request(url, { method: 'POST', headers, agent: this.agent, signal });
      clientRequest.on('error', reject);
      clientRequest.on('response', (response) => {
        const received = new ByteCollector();
        response.on('data', (chunk: Buffer) => {
          received.append(chunk);
          if (received.length > RESPONSE_BYTES_MAX) {
            clientRequest.destroy(new Error(`response exceeds ${RESPONSE_BYTES_MAX} bytes`));
          }
        });
        response.on('end', () => resolve(received.getBytes().toString()));
        response.on('error', reject);
      });
      clientRequest.end(body);
    });
  }
}

/** The handler of each method. */
export type PeerHandlers = {
  readonly [Method in PeerMethod]: (
    params: PeerMethods[Method]['params'],
  ) => PeerMethods[Method]['result'] | Promise<PeerMethods[Method]['result']>;
};

/** Handlers of the methods that routers with rules and budgets serve. */
export type RouterPeerHandlers = Pick<
  PeerHandlers,
  'peer.probe' | 'budget.transfer' | 'budget.give' | 'rules.get'
>;

/** Serves signed messages from peers. */
export class PeerServer {
  private readonly server = new JSONRPCServer();

  constructor(
    private readonly sharedKey: string,
    handlers: Partial<PeerHandlers>,
  ) {
    (Object.keys(handlers) as PeerMethod[]).forEach((method) => {
      this.server.addMethod(method, handlers[method] as (params: never) => unknown as never);
    });
  }

  /** Returns the JSON-RPC response, or `undefined` if the signature is invalid. */
  async handleMessage(body: string, signature: string): Promise<string | undefined> {
    if (!isSignatureValid(this.sharedKey, body, signature)) {
      return undefined;
    }
    return JSON.stringify(await this.server.receiveJSON(body));
  }
}
