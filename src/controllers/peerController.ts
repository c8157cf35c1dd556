/** What routers tell each other with their probes, and what answers their messages. */
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
  /** How often a router without rules asks its peers while the log is away, in milliseconds. */
  readonly rulesRequestIntervalMs: number;
}

/** One router's part in what routers tell each other. */
export class PeerController {
  /** Whether a peer is being asked for its rules. */
  private isRequestingRules = false;

  private unsubscribe: Unsubscribe = () => {};

  constructor(private readonly options: PeerControllerOptions) {
    options.suspects.onCrash = () => this.probeEveryPeer();
  }

  /** Starts looking for rules among peers while there are none in force. */
  start(): void {
    const { timers, rulesRequestIntervalMs } = this.options;
    this.unsubscribe = timers.subscribeEvery(rulesRequestIntervalMs, () => {
      this.bootstrapRules().catch(() => {});
    });
  }

  /** Stops. */
  stop(): void {
    this.unsubscribe();
  }

  /** Returns what answers peers. */
  createHandlers(): RouterPeerHandlers {
    const { transfers, rules } = this.options;
    return {
      'peer.probe': (message) => {
        this.onProbe(message);
        return this.createProbe();
      },
      'budget.transfer': (request) => transfers.lend(request),
      'budget.give': (request) => transfers.receive(request),
      'rules.get': ({ after }) => rules.createAnswer(after),
    };
  }

  /** Returns what this router tells its peers. */
  createProbe(): ProbeMessage {
    const { vm, rules, endpoints, suspects } = this.options;
    return {
      vm,
      rulesVersion: rules.getVersion(),
      leaving: endpoints.getLeaving(),
      suspects: suspects.getSuspects(),
    };
  }

  /** Takes what a peer told. */
  onProbe(message: ProbeMessage): void {
    const { rules, endpoints, suspects } = this.options;
    suspects.merge(message.suspects);
    const known = new Set(endpoints.getLeaving());
    message.leaving.filter((vm) => !known.has(vm)).forEach((vm) => endpoints.markLeaving(vm));
    const isBehind = message.rulesVersion > rules.getVersion();
    if (isBehind && rules.getInForce() && !this.isRequestingRules) {
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
   * A new process that can't read the log asks every peer before it takes any version, so that it never
   * serves an older one than it could have learned.
   */
  private async bootstrapRules(): Promise<void> {
    const { rules, client, membership } = this.options;
    if (rules.getInForce() || rules.reader.getFailingMs() === 0 || this.isRequestingRules) {
      return;
    }
    this.isRequestingRules = true;
    const after = 0 as RulesVersion;
    const answers = await Promise.allSettled(
      membership.getListedPeers().map((peer) => client.call(peer, 'rules.get', { after })),
    );
    this.isRequestingRules = false;
    rules.applyNewestResponse(
      answers.flatMap((answer) => (answer.status === 'fulfilled' ? [answer.value] : [])),
    );
  }

  private probeEveryPeer(): void {
    const { membership } = this.options;
    membership.getPeers().forEach((peer) => {
      membership.probe(peer).catch(() => {});
    });
  }
}
