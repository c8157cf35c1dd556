/** A simulated network between routers on virtual time. */
import type { VmId } from '../../src/types/ids.js';
import { PeerClient, type PeerMethod, type PeerMethods } from '../../src/types/peers.js';
import type { PeerHandlers } from '../../src/peers/peerRpc.js';
import type { TimerService } from '../../src/core/timers.js';
import type { PausableTimers } from './pausableTimers.js';

const LATENCY_MS = 1;
const TIMEOUT_MS = 400;

/** A process on the simulated network. */
export interface PeerNode {
  readonly process: PausableTimers;
  readonly handlers: Partial<PeerHandlers>;
  isAlive: boolean;
}

/** The nodes of the network and the partitions between pairs of them. */
export class FakeNetwork {
  readonly nodes = new Map<string, PeerNode>();

  readonly partitions = new Set<string>();

  /** The number of next responses to drop after their calls took effect. */
  loseAnswers = 0;

  constructor(readonly timers: TimerService) {}

  isPartitioned(a: string, b: string): boolean {
    return this.partitions.has(getPairKey(a, b));
  }

  setPartitioned(a: string, b: string, isPartitioned: boolean): void {
    if (isPartitioned) {
      this.partitions.add(getPairKey(a, b));
    } else {
      this.partitions.delete(getPairKey(a, b));
    }
  }
}

/** The peer client of one node. */
export class FakePeerClient extends PeerClient {
  constructor(
    private readonly network: FakeNetwork,
    private readonly self: string,
    private readonly process: PausableTimers,
  ) {
    super();
  }

  override async call<Method extends PeerMethod>(
    peer: VmId,
    method: Method,
    params: PeerMethods[Method]['params'],
    timeoutMs = TIMEOUT_MS,
  ): Promise<PeerMethods[Method]['result']> {
    const { network, self, process } = this;
    const { timers } = network;
    await timers.sleep(LATENCY_MS);
    const node = network.nodes.get(peer);
    const isReachable = node?.isAlive && !network.isPartitioned(self, peer);
    const response = isReachable ? callNode(node, method, params) : undefined;
    const isLost = network.loseAnswers > 0;
    network.loseAnswers -= isLost ? 1 : 0;
    const isInTime = response && !isLost && (await timers.isFulfilledWithin(response, timeoutMs));
    if (!isInTime) {
      await timers.sleep(timeoutMs);
    }
    await process.whenRunning();
    if (!isInTime) {
      throw new Error('simulated timeout');
    }
    return response;
  }
}

/** Calls a node. A paused node handles the call when it resumes, whether or not the caller still waits. */
async function callNode<Method extends PeerMethod>(
  node: PeerNode,
  method: Method,
  params: PeerMethods[Method]['params'],
): Promise<PeerMethods[Method]['result']> {
  await node.process.whenRunning();
  const message = JSON.parse(JSON.stringify(params)) as typeof params;
  const handler = node.handlers[method];
  if (!handler) {
    throw new Error(`no such method: ${method}`);
  }
  return JSON.parse(JSON.stringify(await handler(message)));
}

function getPairKey(a: string, b: string): string {
  return a < b ? `${a} ${b}` : `${b} ${a}`;
}
