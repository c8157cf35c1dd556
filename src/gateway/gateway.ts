/** A gateway: forwards the opaque calls of many workspaces to the endpoints of the configured services. */
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { Result } from '../core/results.js';
import type { TimerService } from '../core/timers.js';
import { createRefusal } from '../core/codes.js';
import { ProcessMeter } from '../core/processorMeter.js';
import { getErrorMessage } from '../core/utilities.js';
import { LoadController } from '../controllers/loadController.js';
import { RotationController } from '../controllers/rotationController.js';
import { TransferController } from '../controllers/transferController.js';
import { AccountShard } from '../escrow/accountShard.js';
import { AdvanceAccounts } from '../escrow/advanceAccounts.js';
import { AdvanceClient } from '../escrow/advanceClient.js';
import { EscrowController } from '../escrow/escrowController.js';
import { ExtensionClient } from '../escrow/extensionClient.js';
import { HomeClient } from '../escrow/homeClient.js';
import { ExtensionWitness } from '../escrow/extensionWitness.js';
import type { VersionedTotal } from '../escrow/ledger.js';
import { runChain } from '../filters/chain.js';
import { PeerServer } from '../peers/peerRpc.js';
import { TcpEndpointProbe } from '../poison/endpointProbe.js';
import { PoisonController } from '../poison/poisonController.js';
import { KeyedTopicReader } from '../store/keyedTopicReader.js';
import type { Filter } from '../types/exchange.js';
import type {
  DeploymentSettings,
  EndpointEntry,
  GatewayConfig,
  HeaderCodec,
} from '../types/gateway.js';
import {
  brandId,
  type BudgetId,
  type Era,
  type Incarnation,
  type Offset,
  type VmId,
} from '../types/ids.js';
import type { PeerClient, RecordsRequest, RecordsResponse } from '../types/peers.js';
import type { KeyedRecord, KeyedStore, Topic } from '../types/store.js';
import type { CallOutcome, GatewayCall } from './call.js';
import { ConfigController, type ActiveConfig } from './configController.js';
import { getRank } from './callRank.js';
import { EndpointDirectory } from './endpointDirectory.js';
import { AuthenticateKey } from './filters/authenticateKey.js';
import { ForwardCall } from './filters/forwardCall.js';
import { HoldTokens } from './filters/holdTokens.js';
import { MatchRoute } from './filters/matchRoute.js';
import { RejectPoison } from './filters/rejectPoison.js';
import { ResolveStream } from './filters/resolveStream.js';
import { createCallerBounds } from '../server/callerBounds.js';
import { GatewayServer } from './gatewayServer.js';
import { EvacuationController } from './evacuations/evacuationController.js';
import { FleetWarmupPolicy } from './limits/fleetWarmupPolicy.js';
import { LimitController } from './limits/limitController.js';
import { EndpointLoadController } from './load/endpointLoadController.js';
import { RefusalLog } from './load/refusalLog.js';
import { getOutageGraceMs } from './outageGrace.js';
import { PeerSync } from './peerSync.js';
import { StreamOrigins } from './streams/streamOrigins.js';

/** The platform's store, topics, names and codecs. */
export interface PlatformBinding {
  readonly store: KeyedStore;
  readonly codec: HeaderCodec;
  readonly decodeConfig: (bytes: Uint8Array) => Result<GatewayConfig, string>;
  readonly decodeEndpoint: (id: string, bytes: Uint8Array) => Result<EndpointEntry, string>;
  readonly configTopic: Topic;
  readonly configKey: string;
  /** Keys of evacuations in the configuration's topic begin with this; the rest is the availability zone. */
  readonly evacuationKeyPrefix: string;
  readonly endpointTopic: Topic;
  readonly accountTopic: string;
  readonly poisonTopic: Topic;
  readonly streamTopic: Topic;
  readonly readinessPath: string;
}

/** Options of a gateway. */
export interface GatewayOptions {
  readonly deployment: DeploymentSettings;
  readonly platform: PlatformBinding;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly run: Incarnation;
  /** Signs the messages between gateways. */
  readonly sharedKey: string;
  readonly createPeerClient: (getAddress: (peer: VmId) => string | undefined) => PeerClient;
  /**
   * Whether homes lend tokens to other vms ahead of their calls. Its reports double the processor time of a fleet of 87 vms.
   * Default false.
   */
  readonly hasAdvances?: boolean;
  /** Default 1. */
  readonly accountShardCount?: number;
  /** How much spending an allotment covers, in milliseconds. Default 8,500. */
  readonly horizonMs?: number;
  /** In [0, 1). Default `Math.random`. */
  readonly random?: () => number;
}

const ALLOTMENT_HORIZON_MS = 8_500; // partitions from the store last up to 9 s; peer transfers balance uneven spending
const CRASH_KEY = 'crashes'; // all gateways choose the same home to decide about crashes
const STREAM_KEY = 'streams'; // all gateways choose the same home to remove records of streams
const STOP_UNREADY_MS = 2_600; // two readiness probes fail by then; a long call accepted later cannot end within the grace period
const STOP_MARGIN_MS = 500;
const CONFIG_WAIT_MARGIN_MS = 1_200; // the store client's timeout and the read after it
const ENDPOINT_READS_PER_DRAIN_PERIOD = 4; // so a leaving endpoint is noticed within a quarter of its drain period
const EVACUATION_MS = 5_000;
const TRANSFER_TIMEOUT_MS = 100; // a caller waits 250 ms for tokens, which leaves time to ask the next peer

/** One gateway process. */
export class Gateway {
  readonly config: ConfigController;

  readonly directory: EndpointDirectory;

  readonly escrow: EscrowController;

  readonly server: GatewayServer;

  readonly poison: PoisonController;

  private readonly shards: readonly AccountShard[];

  private readonly transfers: TransferController;

  private readonly advances: AdvanceClient;

  private readonly advanceAccounts: AdvanceAccounts;

  private readonly configReader: KeyedTopicReader;

  private readonly endpointReader: KeyedTopicReader;

  private readonly peerSync: PeerSync;

  private readonly limits: LimitController;

  private readonly warmupPolicy: FleetWarmupPolicy;

  private readonly evacuations: EvacuationController;

  readonly endpointLoad: EndpointLoadController;

  private readonly origins: StreamOrigins;

  private readonly peerServer: PeerServer;

  private readonly peerClient: PeerClient;

  private readonly forwardFilter: ForwardCall;

  private readonly filters: readonly Filter<GatewayCall>[];

  private readonly rotation: RotationController;

  private readonly loadController: LoadController;

  private totals = new Map<BudgetId, VersionedTotal>();

  private isStopping = false;

  /** When the stop ends the calls in flight; set once new calls are refused. */
  private stopDeadline: number | undefined;

  constructor(private readonly options: GatewayOptions) {
    const { logger, timers, platform } = options;
    this.peerClient = options.createPeerClient((peer) => this.getPeerAddress(peer));
    this.warmupPolicy = this.createWarmupPolicy();
    this.directory = new EndpointDirectory({ logger, timers, warmupPolicy: this.warmupPolicy });
    this.evacuations = this.createEvacuationController();
    this.config = new ConfigController({
      logger,
      decode: platform.decodeConfig,
      onChange: (config) => this.onConfigChange(config),
    });
    this.rotation = this.createRotationController();
    this.loadController = new LoadController({
      rotation: this.rotation,
      timers,
      logger,
      metrics: options.metrics,
      meter: new ProcessMeter(),
      cores: options.deployment.cores,
      random: this.getRandom(),
    });
    this.shards = this.createShards();
    this.transfers = this.createTransfers();
    this.advances = new AdvanceClient({
      client: this.peerClient,
      timers: options.timers,
      logger: options.logger,
      metrics: options.metrics,
      vm: options.deployment.vm,
      run: options.run,
      getBudgets: () =>
        new Map(
          [...this.totals.keys()].map((budget) => [budget, this.escrow.getShard(budget).homes]),
        ),
      random: this.getRandom(),
    });
    this.advanceAccounts = new AdvanceAccounts({
      client: this.peerClient,
      timers: options.timers,
      run: options.run,
      getShard: (budget) => this.escrow.getShard(budget),
    });
    this.escrow = this.createEscrow();
    this.configReader = this.createConfigReader();
    this.endpointReader = this.createEndpointReader();
    this.poison = this.createPoisonController();
    this.peerSync = this.createPeerSync();
    this.limits = this.createLimitController();
    this.endpointLoad = this.createEndpointLoad();
    this.origins = this.createStreamOrigins();
    this.forwardFilter = this.createForwardFilter();
    this.filters = [
      new MatchRoute({ getConfig: () => this.config.getActive(), random: this.getRandom() }),
      new AuthenticateKey(),
      new RejectPoison(this.poison),
      new ResolveStream(this.origins),
      new HoldTokens(this.escrow, options.timers),
      this.forwardFilter,
    ];
    platform.store.era.onChange(({ era }) => this.handleRewind(era));
    this.peerServer = this.createPeerServer();
    this.server = this.createServer();
  }

  /** Starts listening and reading the store's topics; resolves with the port for callers. */
  async start(): Promise<number> {
    const port = await this.server.listen();
    this.configReader.start();
    this.endpointReader.start();
    this.escrow.start();
    this.poison.start();
    this.peerSync.start();
    this.endpointLoad.start();
    this.origins.start();
    this.loadController.start();
    this.options.logger.info('gateway started', { run: this.options.run, port });
    return port;
  }

  /**
   * Stops within the platform's grace period. Becomes not ready at once, serves new calls until the load balancer has
   * noticed, then refuses them and waits for the calls in flight.
   */
  async stop(): Promise<void> {
    const { timers, logger, deployment } = this.options;
    const startedAt = timers.now();
    this.isStopping = true;
    this.server.startClosing();
    this.escrow.startDraining();
    this.origins.writeSoon();
    logger.info('gateway stopping', { openCalls: this.server.getOpenCalls() });
    await timers.sleep(Math.min(STOP_UNREADY_MS, deployment.graceMs / 2));
    const drainTimeoutMs = deployment.graceMs - STOP_MARGIN_MS - (timers.now() - startedAt);
    this.stopDeadline = timers.now() + drainTimeoutMs;
    const { logFailedStop } = this;
    const drained = this.server.drain().then(() => this.escrow.drain());
    const isDrained = await timers.isFulfilledWithin(drained, drainTimeoutMs, logFailedStop);
    const settleTimeoutMs = deployment.graceMs - STOP_MARGIN_MS / 2 - (timers.now() - startedAt);
    const isSettled = await timers.isFulfilledWithin(
      this.escrow.stop(),
      Math.max(1, settleTimeoutMs),
      logFailedStop,
    );
    this.peerSync.stop();
    this.limits.stop();
    this.warmupPolicy.stop();
    this.endpointLoad.stop();
    this.poison.stop();
    this.origins.stop();
    this.loadController.stop();
    this.configReader.stop();
    this.endpointReader.stop();
    if (this.server.getOpenCalls() > 0) {
      logger.warn('calls ended by the stop', { openCalls: this.server.getOpenCalls() });
      this.forwardFilter.endCalls();
    }
    await this.server.close();
    this.forwardFilter.close();
    logger.info('gateway stopped', {
      isDrained,
      isSettled,
      abortedCalls: this.server.getOpenCalls(),
    });
  }

  /** Logs why a step of the stop failed. The next steps follow: without them listeners stay open and calls are cut. */
  private readonly logFailedStop = (error: unknown): void => {
    this.options.logger.error('step of the stop failed', { error: getErrorMessage(error) });
  };

  private getRandom(): () => number {
    return this.options.random ?? Math.random;
  }

  private createRotationController(): RotationController {
    const { timers, logger, deployment } = this.options;
    return new RotationController({
      timers,
      logger,
      client: this.peerClient,
      vm: deployment.vm,
      zone: deployment.availabilityZone,
      getCoordinator: (zone) => this.shards[0]!.homes.getOrder(`rotation/${zone}`)[0],
    });
  }

  private createShards(): AccountShard[] {
    const { timers, logger, metrics, deployment, run, platform } = this.options;
    const { accountShardCount = 1 } = this.options;
    const { vm, peerAddress } = deployment;
    return Array.from(
      { length: accountShardCount },
      (_, part) =>
        new AccountShard({
          store: platform.store,
          topic: { name: platform.accountTopic, part },
          timers,
          logger,
          metrics,
          vm,
          run,
          extensions: new ExtensionClient({ client: this.peerClient, vm, part }),
          client: this.peerClient,
          address: `${peerAddress.host}:${peerAddress.port}`,
          cores: deployment.cores,
          horizonMs: this.options.horizonMs ?? ALLOTMENT_HORIZON_MS,
          getTotals: () => this.totals,
          getSeeds: () => this.getSeeds(),
          random: this.getRandom(),
        }),
    );
  }

  private createTransfers(): TransferController {
    return new TransferController({
      client: this.peerClient,
      getPeers: (budget) => this.escrow.getShard(budget).getLenders(budget),
      lendTokens: (budget, need, want) => this.escrow.lendTokens(budget, need, want),
      receiveTokens: () => {},
      timeoutMs: TRANSFER_TIMEOUT_MS,
    });
  }

  private createEscrow(): EscrowController {
    const { timers, logger, metrics } = this.options;
    return new EscrowController({
      timers,
      logger,
      metrics,
      shards: this.shards,
      homeClient: new HomeClient({
        client: this.peerClient,
        timers,
        logger,
        metrics,
        run: this.options.run,
      }),
      ...(this.options.hasAdvances
        ? { advances: this.advances, advanceAccounts: this.advanceAccounts }
        : {}),
      requestFromPeers: async (budget, need, want) =>
        (await this.transfers.requestTokens(budget, need, want)).tokens,
    });
  }

  private createConfigReader(): KeyedTopicReader {
    const { platform, timers, logger, deployment } = this.options;
    return new KeyedTopicReader({
      store: platform.store,
      topic: platform.configTopic,
      timers,
      logger,
      waitMs: Math.max(
        CONFIG_WAIT_MARGIN_MS,
        Math.min(deployment.silenceDetectionMs, deployment.evacuationMs ?? EVACUATION_MS) -
          CONFIG_WAIT_MARGIN_MS,
      ),
      onRead: (gapMs) => this.recordRead('config', gapMs),
      onSnapshot: (snapshot) => this.evacuations.applySnapshot(snapshot),
      onRecord: (record) => {
        this.evacuations.applyRecord(record);
        if (record.key === platform.configKey && record.value) {
          this.config.apply(record.value, 'store');
        }
      },
    });
  }

  private createEndpointReader(): KeyedTopicReader {
    const { platform, timers, logger, deployment } = this.options;
    return new KeyedTopicReader({
      store: platform.store,
      topic: platform.endpointTopic,
      timers,
      logger,
      minReadIntervalMs: deployment.endpointDrainMs / ENDPOINT_READS_PER_DRAIN_PERIOD,
      onRead: (gapMs) => this.recordRead('endpoints', gapMs),
      onSnapshot: (snapshot) => {
        this.directory.startEra(snapshot.era);
        const graceMs = getOutageGraceMs(snapshot, deployment.endpointHeartbeatMs);
        this.directory.retain(snapshot.keys, snapshot.end, graceMs, snapshot.era);
      },
      onRecord: (record) => this.applyEndpointRecord(record),
    });
  }

  /** The readers load new snapshots themselves; offsets that were read before are invalid from now on. */
  private handleRewind(era: Era): void {
    this.directory.startEra(era);
    this.peerSync.handleRewind();
    this.origins.writeSoon();
  }

  private recordRead(topic: string, gapMs: number): void {
    this.options.metrics.topicReadGapSeconds.observe({ topic }, gapMs / 1_000);
  }

  private applyEndpointRecord({ key, value, offset }: KeyedRecord): void {
    const era = this.options.platform.store.era.getEra();
    if (!value) {
      this.directory.remove(brandId(key), offset, era);
      return;
    }
    const entry = this.options.platform.decodeEndpoint(key, value);
    if (entry.ok) {
      this.logEntryProblems(entry.val, offset);
      this.directory.apply(entry.val, offset, era);
      if (entry.val.warmupMs !== 0) {
        this.limits.notifyCold();
      }
    } else {
      // The writer is no valid endpoint; the previous entry of the id remains valid.
      this.options.logger.warn('endpoint entry ignored: malformed', {
        key,
        offset,
        detail: entry.val,
      });
    }
  }

  /** Logs only the first of several such entries: they are renewed every second or so, and the value may change each time. */
  private logEntryProblems({ id, problems = [] }: EndpointEntry, offset: Offset): void {
    const { length: knownCount } = this.directory.get(id)?.entry.problems ?? [];
    if (problems.length > knownCount) {
      const detail = problems.join('; ');
      this.options.logger.warn('field of an endpoint entry ignored', { id, offset, detail });
    }
  }

  private createWarmupPolicy(): FleetWarmupPolicy {
    const { timers, deployment } = this.options;
    const { vm, warmupOverage, warmupBurst } = deployment;
    return new FleetWarmupPolicy({
      timers,
      vm,
      getListed: () => this.shards[0]!.ledger.holders.keys(),
      tolerance: { overage: warmupOverage, burst: warmupBurst },
    });
  }

  private createEvacuationController(): EvacuationController {
    const { timers, logger, platform } = this.options;
    return new EvacuationController({
      timers,
      logger,
      keyPrefix: platform.evacuationKeyPrefix,
      isZoneKnown: (zone) =>
        this.directory.getEntries().some(({ availabilityZone }) => availabilityZone === zone),
      onChange: (zone, isEvacuated) => {
        this.directory.setEvacuated(zone, isEvacuated);
        this.limits.notifyCold();
      },
    });
  }

  private createPoisonController(): PoisonController {
    const { timers, logger, metrics, platform, deployment } = this.options;
    return new PoisonController({
      store: platform.store,
      topic: platform.poisonTopic,
      timers,
      logger,
      metrics,
      client: this.peerClient,
      probe: new TcpEndpointProbe(timers),
      vm: deployment.vm,
      getPeers: () => this.getPeers(),
      getCoordinators: () => this.shards[0]!.homes.getOrder(CRASH_KEY),
      broadcast: (pattern) => this.peerSync.broadcast(pattern),
      random: this.getRandom(),
    });
  }

  private createPeerSync(): PeerSync {
    const { timers, logger } = this.options;
    return new PeerSync({
      timers,
      logger,
      client: this.peerClient,
      config: this.config,
      directory: this.directory,
      evacuations: this.evacuations,
      patterns: this.poison.patterns,
      getPeers: () => this.getPeers(),
      getStoreFailingMs: () =>
        Math.max(this.configReader.getFailingMs(), this.endpointReader.getFailingMs()),
    });
  }

  private createLimitController(): LimitController {
    const { timers, logger, deployment } = this.options;
    return new LimitController({
      timers,
      logger,
      client: this.peerClient,
      directory: this.directory,
      vm: deployment.vm,
      getFleet: () => [...this.shards[0]!.ledger.holders.keys()],
      getPeers: () => this.getPeers(),
      random: this.getRandom(),
    });
  }

  private createEndpointLoad(): EndpointLoadController {
    const { timers, logger, deployment, run } = this.options;
    const { vm, cores } = deployment;
    return new EndpointLoadController({
      timers,
      logger,
      client: this.peerClient,
      vm,
      run,
      getCores: () => {
        const holders = [...this.shards[0]!.ledger.holders];
        return new Map([
          ...holders.map(([id, record]) => [id, record.cores] as const),
          [vm, cores],
        ]);
      },
      getService: (endpoint) => this.directory.get(endpoint)?.entry.service,
      random: this.getRandom(),
    });
  }

  private createForwardFilter(): ForwardCall {
    const { timers, logger, metrics, platform, deployment } = this.options;
    return new ForwardCall({
      timers,
      logger,
      metrics,
      codec: platform.codec,
      directory: this.directory,
      poison: this.poison,
      limits: this.limits,
      load: this.endpointLoad,
      refusalLog: new RefusalLog({ logger, metrics }),
      origins: this.origins,
      availabilityZone: deployment.availabilityZone,
      retryWindowMs: deployment.retryWindowMs,
      retryRatio: deployment.retryRatio,
      retryBurst: deployment.retryBurst,
      memoryMb: deployment.memoryMb,
      getRouterCount: () => Math.max(1, this.shards[0]!.ledger.holders.size),
      getStopDeadline: () => this.stopDeadline,
      random: this.getRandom(),
    });
  }

  private createStreamOrigins(): StreamOrigins {
    const { timers, logger, metrics, platform, deployment, run } = this.options;
    return new StreamOrigins({
      store: platform.store,
      topic: platform.streamTopic,
      timers,
      logger,
      metrics,
      run,
      history: this.directory.versionHistory,
      getListedVersions: (service) =>
        this.directory.getEndpoints(service).map(({ entry }) => entry.softwareVersion),
      isSweeper: () => this.shards[0]!.homes.getOrder(STREAM_KEY)[0] === deployment.vm,
      getVmCount: () => this.shards[0]!.ledger.holders.size,
      random: this.getRandom(),
    });
  }

  private createPeerServer(): PeerServer {
    const witness = new ExtensionWitness(this.options.run);
    return new PeerServer(this.options.sharedKey, {
      'budget.transfer': (request) => this.transfers.lend(request),
      'budget.hold': (request) => this.escrow.peerHolds.hold(request),
      'budget.settle': (settlement) => this.escrow.peerHolds.settle(settlement),
      'budget.settleAll': (request) => this.escrow.peerHolds.settleAll(request),
      'budget.advance': (report) => this.advanceAccounts.report(report),
      'budget.recall': (recall) => this.advances.recall(recall),
      'escrow.extend': (request) => witness.record(request),
      'escrow.extended': (query) => witness.fence(query),
      'escrow.records': (request) => this.createRecordsResponse(request),
      ...this.poison.createPeerHandlers(),
      'gateway.rotation': (report) => this.rotation.handleReport(report),
      'gateway.limits': (request) => this.limits.exchange(request),
      'gateway.load': (report) => this.endpointLoad.exchange(report),
      'gateway.state': (request) => this.peerSync.createStateResponse(request),
    });
  }

  private createRecordsResponse(request: RecordsRequest): RecordsResponse {
    const shard = this.shards[request.part];
    if (!shard) {
      throw new Error(`no account shard ${request.part}`);
    }
    return shard.createRecordsResponse(request);
  }

  private createServer(): GatewayServer {
    const { timers, logger, metrics, platform, deployment } = this.options;
    const { callerAddress, readinessAddress, peerAddress } = deployment;
    return new GatewayServer({
      timers,
      logger,
      metrics,
      codec: platform.codec,
      callerAddress,
      readinessAddress,
      peerAddress,
      readinessPath: platform.readinessPath,
      bounds: createCallerBounds({
        memoryMb: deployment.memoryMb,
        maxFds: deployment.maxFds,
        timers,
        metrics,
      }),
      handlers: {
        handleCall: (call) => this.handleCall(call),
        getNotReadyReason: () => this.getNotReadyReason(),
        isOverloaded: () => this.loadController.shouldCloseConnections(),
        shedCall: (message, callsInProgress) =>
          this.loadController.shedCall(
            platform.codec.declaresTokens(message.rawHeaders),
            callsInProgress,
            () => getRank(message, platform.codec, this.config.getActive()),
          ),
        handlePeer: (body, signature) => this.peerServer.handleMessage(body, signature),
      },
    });
  }

  private async handleCall(call: GatewayCall): Promise<CallOutcome> {
    const { timers, metrics, logger } = this.options;
    try {
      const result = await runChain({ filters: this.filters, timers, metrics }, call);
      return result.err ? result.val : undefined;
    } catch (error) {
      logger.error('call failed', { request: call.metadata.id, error: (error as Error).stack });
      if (call.caller.isHeadSent()) {
        call.caller.destroy();
      }
      return createRefusal('internal');
    }
  }

  private getNotReadyReason(): string | undefined {
    if (this.isStopping) {
      return 'stopping';
    }
    if (!this.config.getActive()) {
      return 'no configuration';
    }
    if (this.directory.getSize() === 0) {
      return 'no endpoints';
    }
    return this.loadController.isOverloaded() ? 'overloaded' : undefined;
  }

  private onConfigChange({ config }: ActiveConfig): void {
    this.server.applyLimits(config.limits);
    this.warmupPolicy.applyConfig(config);
    this.options.metrics.rulesVersion.set(config.version);
    this.totals = new Map(
      (config.workspaces ?? []).flatMap(({ name, prepaidTokens }) =>
        prepaidTokens === undefined
          ? []
          : [[brandId<BudgetId>(name), { tokens: prepaidTokens, version: config.version }]],
      ),
    );
    this.escrow.onTotalsChanged();
    const streamTimeoutsMs = config.routes.flatMap(({ isStream, timeoutMs }) =>
      isStream ? [timeoutMs] : [],
    );
    this.origins.applyTimeout(Math.max(0, ...streamTimeoutsMs));
  }

  /** Returns the other gateways: those with known accounts, or else the seeds from the settings. */
  private getPeers(): VmId[] {
    const { vm } = this.options.deployment;
    const holders = [...this.shards[0]!.ledger.holders.keys()].filter((holder) => holder !== vm);
    return holders.length > 0 ? holders : this.getSeeds();
  }

  private getSeeds(): VmId[] {
    const { seeds, peerAddress } = this.options.deployment;
    return seeds
      .filter(({ host }) => host !== peerAddress.host)
      .map(({ host, port }) => brandId(`${host}:${port}`));
  }

  /** Returns the address of a peer. The id of a seed from the settings is its address. */
  private getPeerAddress(peer: VmId): string | undefined {
    return this.shards[0]!.ledger.holders.get(peer)?.address ?? peer;
  }
}
