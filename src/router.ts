/** A router process: creates and connects the controllers, the filter chain and the server. */
import { randomBytes } from 'node:crypto';
import type { BudgetId, Incarnation, StreamName, VmId } from './types/ids.js';
import { brandId } from './types/ids.js';
import type { EndpointClient } from './types/endpoints.js';
import type { Exchange, Filter, FilterResult } from './types/exchange.js';
import type { PeerClient } from './types/peers.js';
import type { LogService, Vm, VmList } from './types/platform.js';
import { createRefusal, type Refusal } from './core/codes.js';
import type { Logger } from './core/logging.js';
import type { Metrics } from './core/metrics.js';
import type { Settings } from './core/settings.js';
import type { TimerService, Unsubscribe } from './core/timers.js';
import { getErrorMessage, getSha256 } from './core/utilities.js';
import {
  BudgetController,
  getBudgetStream,
  getShardOfBudget,
} from './controllers/budgetController.js';
import {
  CheckpointController,
  type CheckpointedStream,
} from './controllers/checkpointController.js';
import { ClaimController } from './controllers/claimController.js';
import { EndpointController } from './controllers/endpointController.js';
import { MembershipController } from './controllers/membershipController.js';
import { PeerController } from './controllers/peerController.js';
import { RulesController, type ActiveRules } from './controllers/rulesController.js';
import { SuspectController } from './controllers/suspectController.js';
import { TransferController } from './controllers/transferController.js';
import { SlotQueues } from './filters/admit.js';
import { runChain } from './filters/chain.js';
import { createFilters } from './filters/createFilters.js';
import { StreamWriter } from './log/streamWriter.js';
import { PeerServer } from './peers/peerRpc.js';
import { getAllowKey } from './rules/checker.js';
import { CallerServer } from './server/callerServer.js';

/** The stream of rule edits. */
export const RULES_STREAM: StreamName = brandId('rules');
/** The stream of claims. */
export const CLAIMS_STREAM: StreamName = brandId('claims-0');
/** The stream of bills. Routers append to it and never read it. */
export const BILLS_STREAM: StreamName = brandId('bills');

/** The dependencies of a router. */
export interface RouterOptions {
  readonly settings: Settings;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly log: LogService;
  readonly vmList: VmList;
  readonly endpointClient: EndpointClient;
  /** Creates the client for peers, which looks up their addresses with `getAddress`. */
  readonly createPeerClient: (getAddress: (peer: VmId) => string | undefined) => PeerClient;
  readonly incarnation?: Incarnation;
  /** Returns a number in [0, 1). Default `Math.random`. */
  readonly random?: () => number;
}

const NOT_READY_RETRY_AFTER_MS = 2_000;

/** Creates the unique id of one run of a router process. */
export function createIncarnation(vm: string): Incarnation {
  return brandId(`${vm}-${randomBytes(4).toString('hex')}`);
}

/** One router process. */
export class Router {
  readonly rules: RulesController;

  readonly budgets: BudgetController;

  readonly claims: ClaimController;

  readonly endpoints: EndpointController;

  readonly membership: MembershipController;

  readonly server: CallerServer;

  readonly peers: PeerController;

  private readonly bills: StreamWriter;

  private readonly rulesWriter: StreamWriter;

  private readonly suspects = new SuspectController();

  private readonly transfers: TransferController;

  private readonly checkpoints: CheckpointController;

  private readonly queues: SlotQueues;

  private readonly filters: readonly Filter[];

  private readonly vm: VmId;

  private readonly incarnation: Incarnation;

  private readonly peerClient: PeerClient;

  /** The last vm list applied. The list client returns the same array if nothing has changed. */
  private listedVms: readonly Vm[] | undefined;

  private stopVmPolling: Unsubscribe = () => {};

  /** Whether the budgets and claims have been ready once. A later outage of the log leaves the router ready. */
  private hasBeenReady = false;

  constructor(private readonly options: RouterOptions) {
    const { settings, timers } = options;
    this.vm = brandId(settings.router.vm);
    this.incarnation = options.incarnation ?? createIncarnation(this.vm);
    this.peerClient = options.createPeerClient((peer) => this.membership.getAddress(peer));
    this.membership = this.createMembership();
    this.transfers = new TransferController({
      client: this.peerClient,
      getPeers: (budget) => this.getTransferPeers(budget),
      lendTokens: (budget, need, want) => this.budgets.lendTokens(budget, need, want),
      receiveTokens: (budget, tokens) => this.budgets.receiveTokens(budget, tokens),
    });
    this.endpoints = new EndpointController({
      timers,
      vm: this.vm,
      suspects: this.suspects,
      onCapacityChange: () => this.queues?.dispatch(),
    });
    this.queues = new SlotQueues({
      timers,
      endpoints: this.endpoints,
      queueLength: settings.limits.queueLength,
    });
    this.rules = this.createRules();
    this.budgets = this.createBudgets();
    this.claims = this.createClaims();
    this.bills = this.createWriter(BILLS_STREAM);
    this.rulesWriter = this.createWriter(RULES_STREAM);
    this.checkpoints = this.createCheckpoints();
    this.filters = createFilters({
      ...options,
      rules: this.rules,
      budgets: this.budgets,
      claims: this.claims,
      bills: this.bills,
      endpoints: this.endpoints,
      queues: this.queues,
      suspects: this.suspects,
    });
    this.peers = new PeerController({
      timers,
      vm: this.vm,
      client: this.peerClient,
      membership: this.membership,
      rules: this.rules,
      endpoints: this.endpoints,
      suspects: this.suspects,
      transfers: this.transfers,
      rulesRequestIntervalMs: settings.peers.probeIntervalMs,
    });
    this.server = this.createServer();
  }

  /** Starts the controllers and the server; resolves with the port. */
  start(): Promise<number> {
    this.startControllers();
    return this.server.listen();
  }

  /** Starts the controllers without the server. */
  startControllers(): void {
    const { timers, settings } = this.options;
    this.rules.start();
    this.budgets.start();
    this.claims.start();
    this.membership.start();
    this.checkpoints.start();
    this.stopVmPolling = timers.subscribeEvery(settings.vms.pollMs, () => {
      this.pollVms().catch(() => {});
    });
    this.pollVms().catch(() => {});
    this.peers.start();
  }

  /**
   * Stops gracefully: refuses new requests, waits up to `shutdown.drainMs` for those in flight, returns the
   * unspent tokens of the allotments within `shutdown.flushMs`, then closes.
   */
  async stop(): Promise<void> {
    const { timers, settings, logger } = this.options;
    logger.info('draining', { open: this.server.getOpenRequests() });
    const { drainMs, flushMs } = settings.shutdown;
    await timers.isFulfilledWithin(this.server.drain(), drainMs);
    const isFlushed = await timers.isFulfilledWithin(this.flush(), flushMs, (error) =>
      logger.error('allotments not returned', { error: getErrorMessage(error) }),
    );
    this.stopImmediately();
    await this.server.close();
    logger.info('stopped', { isFlushed });
  }

  /** Stops without draining or flushing, as a crash would, and clears all timers. */
  stopImmediately(): void {
    this.stopVmPolling();
    this.peers.stop();
    this.rules.stop();
    this.budgets.stop();
    this.claims.stop();
    this.membership.stop();
    this.checkpoints.stop();
    this.bills.stop();
    this.rulesWriter.stop();
  }

  /** Writes a checkpoint of every stream immediately. */
  writeCheckpoints(): void {
    this.checkpoints.writeAll();
  }

  /** Returns the reason why this router is not ready, or `undefined` if it is. */
  getNotReadyReason(): string | undefined {
    if (!this.rules.getActive()) {
      return 'no proven rules';
    }
    this.hasBeenReady ||= this.budgets.isReady() && this.claims.reader.isReady();
    if (!this.hasBeenReady) {
      return 'no proven state of the budgets or claims';
    }
    return undefined;
  }

  /** Runs a request through the filter chain. */
  handle(exchange: Exchange): Promise<FilterResult> {
    const { timers, metrics } = this.options;
    return runChain({ filters: this.filters, timers, metrics }, exchange);
  }

  private async flush(): Promise<void> {
    const { timers } = this.options;
    await this.budgets.close();
    const writers = [this.bills, this.claims.writer];
    while (!writers.every((writer) => writer.isIdle())) {
      await timers.sleep(10);
    }
  }

  private async pollVms(): Promise<void> {
    const result = await this.options.vmList.list();
    if (result.ok && result.val !== this.listedVms) {
      this.listedVms = result.val;
      this.membership.setVms(result.val);
      this.endpoints.setVms(result.val);
    }
  }

  private createWriter(stream: StreamName): StreamWriter {
    const { log, timers, settings } = this.options;
    return new StreamWriter({
      log,
      timers,
      stream,
      incarnation: this.incarnation,
      flushIntervalMs: settings.log.flushIntervalMs,
      onRetry: this.createRetryCounter(stream),
    });
  }

  private createRetryCounter(target: string): (reason: string) => void {
    return (reason) => this.options.metrics.retries.inc({ target, reason });
  }

  private createMembership(): MembershipController {
    const { settings, timers } = this.options;
    const { vmPattern, probeIntervalMs, probeCount } = settings.peers;
    return new MembershipController({
      timers,
      vm: this.vm,
      availabilityZone: brandId(settings.router.availabilityZone),
      vmPattern,
      probeIntervalMs,
      probeCount,
      client: this.peerClient,
      random: this.options.random,
      createProbe: () => this.peers.createProbe(),
      onProbe: (message) => this.peers.onProbe(message),
    });
  }

  private createRules(): RulesController {
    const { log, timers, settings, logger, metrics } = this.options;
    return new RulesController({
      log,
      timers,
      stream: RULES_STREAM,
      pollMs: settings.log.pollMs,
      onChange: (rules) => {
        logger.info('new rules in force', { version: rules.version });
        metrics.rulesVersion.set(rules.version);
        this.endpoints.setRules([...rules.set.endpoints.values()]);
        this.budgets.checkFunds();
      },
      onError: (message) =>
        logger.error('accepted rules failed the check and are not in force', { message }),
    });
  }

  private createBudgets(): BudgetController {
    const { log, timers, settings } = this.options;
    return new BudgetController({
      log,
      timers,
      incarnation: this.incarnation,
      getRules: () => this.rules.getActive(),
      getRank: (stream) => this.membership.getRank(stream),
      isHome: (stream) => this.isHome(stream),
      peers: this.transfers,
      flushIntervalMs: settings.log.flushIntervalMs,
      pollMs: settings.log.pollMs,
      onRetry: this.createRetryCounter('budgets'),
      ...settings.budgets,
    });
  }

  private isHome(stream: StreamName): boolean {
    const { homesPerZone } = this.options.settings.budgets;
    if (homesPerZone === 0) {
      return true;
    }
    return this.membership.getZoneOrder(stream).slice(0, homesPerZone).includes(this.vm);
  }

  /** Returns the peers to ask for tokens: those of this zone, homes of the budget first, then the others. */
  private getTransferPeers(budget: BudgetId): VmId[] {
    const stream = getBudgetStream(getShardOfBudget(budget, this.budgets.shards.length));
    const zonePeers = this.membership.getZoneOrder(stream).filter((vm) => vm !== this.vm);
    const otherPeers = this.membership.getPeers().filter((vm) => !zonePeers.includes(vm));
    return [...zonePeers, ...otherPeers];
  }

  private createClaims(): ClaimController {
    const { log, timers, settings } = this.options;
    const { waitMs, comeBackMs, keptBytes } = settings.claims;
    return new ClaimController({
      log,
      timers,
      stream: CLAIMS_STREAM,
      incarnation: this.incarnation,
      claimWaitMs: waitMs,
      outcomeRetryAfterMs: comeBackMs,
      keptBytes,
      flushIntervalMs: settings.log.flushIntervalMs,
      pollMs: settings.log.pollMs,
      onRetry: this.createRetryCounter(CLAIMS_STREAM),
    });
  }

  private createCheckpoints(): CheckpointController {
    const { timers, settings } = this.options;
    const { claims, rules, rulesWriter, budgets } = this;
    const streams: CheckpointedStream[] = [
      { stream: RULES_STREAM, reader: rules.reader, writer: rulesWriter },
      { stream: CLAIMS_STREAM, reader: claims.reader, writer: claims.writer },
      ...budgets.shards.map(({ stream, tokenSource: { reader, writer } }) => ({
        stream,
        reader,
        writer,
      })),
    ];
    return new CheckpointController({
      timers,
      retentionMs: settings.log.retentionMs,
      getRank: (stream) => this.membership.getRank(stream),
      streams,
    });
  }

  private createServer(): CallerServer {
    const { settings, timers, metrics, logger } = this.options;
    const peerServer = new PeerServer(settings.peers.sharedKey, this.peers.createHandlers());
    return new CallerServer({
      settings,
      timers,
      metrics,
      logger,
      handlers: {
        handleCaller: (exchange) => this.handle(exchange),
        handlePeer: (body, signature) => peerServer.handleMessage(body, signature),
        listModels: (authorization) => this.listModels(authorization),
        getNotReadyReason: () => this.getNotReadyReason(),
      },
    });
  }

  private listModels(authorization: string | undefined): readonly string[] | Refusal {
    const rules: ActiveRules | undefined = this.rules.getActive();
    if (!rules) {
      return createRefusal('notReady', { retryAfterMs: NOT_READY_RETRY_AFTER_MS });
    }
    const secret = authorization?.replace(/^Bearer /i, '') ?? '';
    const key = rules.set.keysBySha256.get(getSha256(secret));
    if (!key) {
      return createRefusal('invalidKey');
    }
    return [...rules.set.servicesByModel]
      .filter(([, service]) => rules.set.allows.has(getAllowKey(key.name, service.name)))
      .map(([model]) => model);
  }
}
