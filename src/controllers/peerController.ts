/** Exchanges state between routers through probes and handles messages from peers. */
import type { RulesVersion, VmId } from '../types/ids.js';
import type { PeerClient, ProbeMessage } from '../types/peers.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import type { RouterPeerHandlers } from '../peers/peerRpc.js';
import type { EndpointController } from './endpointController.js';
import type { MembershipController } from './membershipController.js';
import type { RulesController } from './rulesController.js';
import type { SuspectController } from './suspectController.js';
import type { TransferController } from './transferController.js';

/** Options of the peer controller. */
export interface PeerControllerOptions {
  readonly timers: TimerService;
  readonly vm: VmId;
  readonly client: PeerClient;
  readonly membership: MembershipController;
  readonly rules: RulesController;
  readonly endpoints: EndpointController;
  readonly suspects: SuspectController;
  readonly transfers: TransferController;
  /** Interval at which a router without rules asks its peers while the log is unavailable, in milliseconds. */
  readonly rulesRequestIntervalMs: number;
}

/** The peer protocol of one router. */
export class PeerController {
  /** Whether a request for rules is in flight. */
  private isRequestingRules = false;

  private unsubscribe: Unsubscribe = () => {};

  constructor(private readonly options: PeerControllerOptions) {
    options.suspects.onCrash = () => this.probeEveryPeer();
  }

  /** Starts asking peers for rules while none are in force and the log is failing. */
  start(): void {
    const { timers, rulesRequestIntervalMs } = this.options;
    this.unsubscribe = timers.subscribeEvery(rulesRequestIntervalMs, () => {
      this.bootstrapRules().catch(() => {});
    });
  }

  /** Stops asking peers for rules. */
  stop(): void {
    this.unsubscribe();
  }

  /** Returns the handlers for messages from peers. */
  createHandlers(): RouterPeerHandlers {
    const { transfers, rules } = this.options;
    return {
      'peer.probe': (message) => {
        this.onProbe(message);
        return this.createProbe();
      },
      'budget.transfer': (request) => transfers.lend(request),
      'budget.give': (request) => transfers.receive(request),
      'rules.get': ({ after }) => rules.createResponse(after),
    };
  }

  /** Returns the message that this router sends with its probes. */
  createProbe(): ProbeMessage {
    const { vm, rules, endpoints, suspects } = this.options;
    return {
      vm,
      rulesVersion: rules.getVersion(),
      leaving: endpoints.getLeaving(),
      suspects: suspects.getSuspects(),
    };
  }

  /** Handles a probe or its response: merges suspects and leaving endpoints, and requests newer rules. */
  onProbe(message: ProbeMessage): void {
    const { rules, endpoints, suspects } = this.options;
    suspects.merge(message.suspects);
    const knownLeaving = new Set(endpoints.getLeaving());
    message.leaving
      .filter((vm) => !knownLeaving.has(vm))
      .forEach((vm) => endpoints.markLeaving(vm));
    const isBehind = message.rulesVersion > rules.getVersion();
    if (isBehind && rules.getActive() && !this.isRequestingRules) {
      this.requestRules(message.vm).catch(() => {});
    }
  }

  private async requestRules(peer: VmId): Promise<void> {
    const { rules, client } = this.options;
    this.isRequestingRules = true;
    try {
      const after = rules.getVersion();
      rules.applyResponse(await client.call(peer, 'rules.get', { after }));
    } finally {
      this.isRequestingRules = false;
    }
  }

  /**
   * Asks every peer for rules when a new process cannot read the log. The newest rules are applied only
   * after all peers have responded or failed, so that no version older than the newest available is served.
   */
  private async bootstrapRules(): Promise<void> {
    const { rules, client, membership } = this.options;
    if (rules.getActive() || rules.reader.getFailingMs() === 0 || this.isRequestingRules) {
      return;
    }
    this.isRequestingRules = true;
    const after = 0 as RulesVersion;
    const responses = await Promise.allSettled(
      membership.getListedPeers().map((peer) => client.call(peer, 'rules.get', { after })),
    );
    this.isRequestingRules = false;
    rules.applyNewestResponse(
      responses.flatMap((response) => (response.status === 'fulfilled' ? [response.value] : [])),
    );
  }

  private probeEveryPeer(): void {
    const { membership } = this.options;
    membership.getPeers().forEach((peer) => {
      membership.probe(peer).catch(() => {});
    });
  }
}
