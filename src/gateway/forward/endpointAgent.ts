/** Pools connections to endpoints, and closes an idle connection on which unexpected bytes arrive. */
import { Agent, type AgentOptions, type ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import { getHash32, getOrCreate } from '../../core/utilities.js';
import type { Address } from '../../types/gateway.js';

const IDLE_TIMEOUT_MS = 4_000; // longer than the gaps between calls to one endpoint under usual load
const IDLE_MARGIN_MS = 500; // avoids sending a call while the endpoint closes the idle connection
/** A connection that has carried this many calls is closed, which bounds what is remembered of them. */
const CALLS_PER_CONNECTION_MAX = 256;

/**
 * An HTTP agent that watches its idle connections. Bytes that arrive on one belong to no call, so the connection is
 * closed instead of being reused. It knows which calls a connection has carried, by the hashes of their ids.
 */
export class EndpointAgent extends Agent {
  /** The `data` listener of each idle connection, which closes the connection. */
  private readonly idleDataListeners = new WeakMap<Duplex, () => void>();

  /** For calls that an idle connection has carried; its connections are not reused. */
  private readonly singleUseAgent = new Agent({ keepAlive: false });

  /** Hashes of the ids of the calls that each connection has carried. */
  private readonly carriedCalls = new WeakMap<Duplex, Set<number>>();

  constructor(private readonly connectionOptions: AgentOptions = {}) {
    super({ keepAlive: true, scheduling: 'lifo', timeout: IDLE_TIMEOUT_MS, ...connectionOptions });
  }

  /**
   * Returns the agent to send a call with. A connection must not carry an id twice: the endpoint may still send a copy of
   * its first answer, which the id can't tell from the second one.
   *
   * @example
   * request({ ...address, agent: agent.getAgentFor(address, callId) });
   */
  getAgentFor({ host, port }: Address, callId: string): Agent {
    const idle = this.freeSockets[this.getName({ ...this.connectionOptions, host, port })] ?? [];
    const hash = getHash32(callId);
    const isRepeated = idle.some((socket) => this.carriedCalls.get(socket)?.has(hash));
    return isRepeated ? this.singleUseAgent : this;
  }

  override destroy(): void {
    super.destroy();
    this.singleUseAgent.destroy();
  }

  /** Records that a connection carries a call. Returns whether it had carried a call of that id before. */
  recordCall(socket: Duplex, callId: string): boolean {
    const carried = getOrCreate(this.carriedCalls, socket, () => new Set<number>());
    const hash = getHash32(callId);
    const isRepeated = carried.has(hash);
    carried.add(hash);
    return isRepeated;
  }

  // Node calls this for each connection that becomes free after a response.
  override keepSocketAlive(socket: Duplex): boolean {
    const inherited = Agent.prototype as unknown as {
      keepSocketAlive: (this: Agent, socket: Duplex) => boolean;
    };
    if (!inherited.keepSocketAlive.call(this, socket) || socket.readableLength > 0) {
      return false;
    }
    if ((this.carriedCalls.get(socket)?.size ?? 0) >= CALLS_PER_CONNECTION_MAX) {
      return false;
    }
    const { timeout = IDLE_TIMEOUT_MS } = socket as Socket;
    (socket as Socket).setTimeout(Math.max(1, Math.min(IDLE_TIMEOUT_MS, timeout - IDLE_MARGIN_MS)));
    const onData = () => {
      socket.destroy();
    };
    this.idleDataListeners.set(socket, onData);
    socket.on('data', onData);
    return true;
  }

  // Node calls this before it reuses an idle connection.
  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const onData = this.idleDataListeners.get(socket);
    if (onData) {
      socket.off('data', onData);
      this.idleDataListeners.delete(socket);
    }
    const inherited = Agent.prototype as unknown as {
      reuseSocket: (this: Agent, socket: Duplex, request: ClientRequest) => void;
    };
    inherited.reuseSocket.call(this, socket, request);
  }
}
