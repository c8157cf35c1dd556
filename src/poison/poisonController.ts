/** Refuses calls that crash endpoints: the gateway's part in finding what they have in common, and the patterns in force. */
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService } from '../core/timers.js';
import type { PeerHandlers } from '../peers/peerRpc.js';
import type { EndpointEntry, RouteName } from '../types/gateway.js';
import type { VmId } from '../types/ids.js';
import type { PeerClient } from '../types/peers.js';
import type { Feature, PoisonPattern } from '../types/poison.js';
import type { KeyedStore, Topic } from '../types/store.js';
import { CallHistory } from './callHistory.js';
import { CrashCoordinator } from './crashCoordinator.js';
import { CrashReporter } from './crashReporter.js';
import type { EndpointProbe } from './endpointProbe.js';
import { PatternList } from './patternList.js';
import { PatternStore } from './patternStore.js';

/** Options of the controller. */
export interface PoisonControllerOptions {
  readonly store: KeyedStore;
  readonly topic: Topic;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly client: PeerClient;
  readonly probe: EndpointProbe;
  readonly vm: VmId;
  /** Returns the other gateways. */
  readonly getPeers: () => readonly VmId[];
  /** Returns the vms that decide about crashes, the first choice first; may include this vm. */
  readonly getCoordinators: () => readonly VmId[];
  /** Sends a pattern that this process found to all peers. */
  readonly broadcast: (pattern: PoisonPattern) => void;
  /** In [0, 1). */
  readonly random: () => number;
}

/** A call as this module knows it. */
export interface PoisonSubject {
  readonly route: RouteName;
  readonly features: readonly Feature[];
}

/** The patterns of one process, with the parts that find, store and exchange them. */
export class PoisonController {
  readonly patterns: PatternList;

  private readonly history: CallHistory;

  private readonly reporter: CrashReporter;

  private readonly coordinator: CrashCoordinator;

  private readonly patternStore: PatternStore;

  constructor(private readonly options: PoisonControllerOptions) {
    const { timers } = options;
    this.history = new CallHistory(timers);
    this.patterns = new PatternList(options);
    this.patternStore = new PatternStore({ ...options, patterns: this.patterns });
    this.coordinator = new CrashCoordinator({
      ...options,
      history: this.history,
      patterns: this.patterns,
    });
    this.reporter = new CrashReporter({
      ...options,
      decide: (report) => this.coordinator.addReport(report),
    });
    this.patterns.onAdd = (key, pattern, source) => {
      this.patternStore.recordAdded(key, pattern, source);
      if (source === 'evidence') {
        options.broadcast(pattern);
      }
    };
    this.patterns.onExpire = (key) => this.patternStore.recordExpired(key);
  }

  start(): void {
    this.patternStore.start();
  }

  stop(): void {
    this.patternStore.stop();
    this.patterns.stop();
  }

  /** Returns the time for which a call is refused, or `undefined` if it is not; `getFeatures` is called only if needed. */
  getRefusalMs(getFeatures: () => readonly Feature[]): number | undefined {
    return this.patterns.isEmpty() ? undefined : this.patterns.getRefusalMs(getFeatures());
  }

  /** Records that an endpoint has begun to answer a call and has survived it. */
  recordAnswered({ route, features }: PoisonSubject): void {
    this.history.recordAnswered(route, features);
  }

  /** Records that the connection of a call broke before the endpoint had begun to answer it. */
  recordBroken(endpoint: EndpointEntry, call: PoisonSubject): void {
    this.reporter.recordBroken(endpoint, call);
  }

  /** Returns the handlers of the messages of peers. */
  createPeerHandlers(): Pick<PeerHandlers, 'crash.report' | 'crash.survey'> {
    return {
      'crash.report': (report) => {
        this.coordinator.addReport(report);
        return { isAccepted: true };
      },
      'crash.survey': (survey) => this.coordinator.createSurveyResponse(survey),
    };
  }

  /** Returns whether every crash noticed so far has been assessed by this process or reported to another one. */
  isIdle(): boolean {
    return this.reporter.isIdle() && this.coordinator.isIdle();
  }
}
