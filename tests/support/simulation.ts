/** A fleet on virtual time: real routers with a fake log, vm list, peer network and endpoints. */
import { auditLog, type AuditReport } from '../../src/audit/auditLog.js';
import type { BatchRecord, StreamDump } from '../../src/log/streamDump.js';
import { auditBudgetStream } from '../../src/audit/auditBudgets.js';
import { getBudgetStream } from '../../src/controllers/budgetController.js';
import { createLogger } from '../../src/core/logging.js';
import { createMetrics } from '../../src/core/metrics.js';
import { Ok, type Result } from '../../src/core/results.js';
import { parseSettings, type Settings } from '../../src/core/settings.js';
import { VirtualTimers } from '../../src/core/timers.js';
import { getOrCreate, getSha256 } from '../../src/core/utilities.js';
import { decodeBatch, encodeBatch } from '../../src/log/codec.js';
import { BILLS_STREAM, CLAIMS_STREAM, Router, RULES_STREAM } from '../../src/router.js';
import { createEdit } from '../../src/rules/editor.js';
import { createErrorBody } from '../../src/server/errorBody.js';
import { CallerResponse, Exchange } from '../../src/types/exchange.js';
import {
  brandId,
  type BudgetId,
  type Incarnation,
  type Offset,
  type RulesVersion,
} from '../../src/types/ids.js';
import { VmList, type LogService, type Vm } from '../../src/types/platform.js';
import { RulesProjection } from '../../src/projections/rulesProjection.js';
import { FakeEndpointClient, FakeEndpoints } from './fakeEndpoints.js';
import { FakeLog, FakeLogServer } from './fakeLog.js';
import { FakeNetwork, FakePeerClient } from './fakePeers.js';
import { PausableTimers } from './pausableTimers.js';

/** Options of a simulation. */
export interface SimulationOptions {
  /** Default 3. */
  readonly routers?: number;
  /** Initial tokens of the budget. Default 2,000. */
  readonly tokens?: number;
  /** Wraps the log client of each process, to inject faults. */
  readonly wrapLog?: (log: LogService, router: string) => LogService;
  /** Patches a router after its creation, to inject faults. */
  readonly patchRouter?: (router: Router) => void;
  readonly retentionMs?: number;
  /** Idle time after which unused tokens are returned. Default: that of the settings. */
  readonly idleReturnMs?: number;
  /** The number of routers that follow the budget stream. Default: all. */
  readonly homesPerZone?: number;
  readonly seed?: number;
  /** Additional lines of the rules. */
  readonly rules?: readonly string[];
}

/** One run of a router process. */
export interface SimulatedRouter {
  readonly name: string;
  readonly router: Router;
  readonly process: PausableTimers;
  readonly log: FakeLog;
  isAlive: boolean;
}

/** The response to one request, as received by the caller. */
export class FakeResponse extends CallerResponse {
  status = 0;

  headers: Readonly<Record<string, string>> = {};

  text = '';

  isEnded = false;

  error: ReturnType<typeof createErrorBody>['error'] | undefined;

  /** An exception of the filter chain. The chain must not throw. */
  handlerError: Error | undefined;

  /** Whether the filter chain has returned. */
  isFinished = false;

  override isHeadSent(): boolean {
    return this.status !== 0;
  }

  override send(
    status: number,
    headers: Readonly<Record<string, string>>,
    body: string | Uint8Array,
  ): void {
    this.sendHead(status, headers);
    this.text += Buffer.from(body).toString();
    this.isEnded = true;
  }

  override sendHead(status: number, headers: Readonly<Record<string, string>>): void {
    this.status = status;
    this.headers = headers;
  }

  override async write(chunk: string | Uint8Array): Promise<void> {
    this.text += Buffer.from(chunk).toString();
  }

  override end(): void {
    this.isEnded = true;
  }

  override destroy(): void {}

  /** Returns the words of a streamed response. */
  getWords(): string[] {
    return this.getEvents()
      .map((event) => event.choices?.[0]?.delta?.content)
      .filter((content): content is string => content !== undefined);
  }

  /** Returns whether a streamed response is complete. */
  isComplete(): boolean {
    return this.isEnded && this.text.endsWith('data: [DONE]\n\n');
  }

  private getEvents(): { choices?: { delta?: { content?: string } }[] }[] {
    return this.text
      .split('\n\n')
      .filter((line) => line.startsWith('data: {'))
      .map((line) => JSON.parse(line.slice(6)));
  }
}

export const CALLER_KEY = 'the-key';
const DEADLINE_MS = '8000';
const ENGINES = 4;
const SERVICES = 2;

/** A simulated fleet with one zone and one budget. */
export class Simulation {
  readonly timers = new VirtualTimers();

  readonly server = new FakeLogServer(this.timers);

  readonly network = new FakeNetwork(this.timers);

  readonly endpoints = new FakeEndpoints(this.timers);

  /** The latest run of each router. */
  readonly routers: SimulatedRouter[] = [];

  /** All runs of all routers, including terminated ones. */
  readonly runs: SimulatedRouter[] = [];

  readonly vms: Vm[] = [];

  readonly lines: string[];

  funded: number;

  /** Totals of all records appended to the log. */
  readonly appended = { records: 0, bytes: 0 };

  private readonly archive = new Map<string, BatchRecord[]>();

  private readonly rules = new RulesProjection();

  private incarnationCount = 0;

  private randomState: number;

  constructor(private readonly options: SimulationOptions = {}) {
    const { routers = 3, tokens = 2_000, retentionMs, seed = 1, rules = [] } = options;
    this.funded = tokens;
    this.randomState = seed;
    this.server.onAppend = (name, offset, data) => this.archiveRecord(name, offset, data);
    this.server.retentionMs = retentionMs ?? Number.POSITIVE_INFINITY;
    this.lines = [
      'service chat type=engine models=m # t',
      'service orders type=plain once=POST:/orders call-tokens=1 # t',
      'endpoint engine-* service=chat slots=8 # t',
      'endpoint service-* service=orders slots=8 # t',
      'budget b workspace=w horizon=20s # t',
      `fund opening budget=b tokens=${tokens} # t`,
      `key k workspace=w sha256=${getSha256(CALLER_KEY)} # t`,
      'allow k budget=b service=chat # t',
      'allow k budget=b service=orders priority=9 # t',
      ...rules,
    ];
    this.addVms('engine', ENGINES);
    this.addVms('service', SERVICES);
    this.addVms('router', routers);
    this.publish([], this.lines);
    Array.from({ length: routers }, (_, index) => this.startRouter(index));
  }

  /** Advances the virtual time. */
  advance(durationMs: number): Promise<void> {
    return this.timers.advance(durationMs);
  }

  /** Returns a pseudo-random number in [0, 1), determined by the seed. */
  random(): number {
    this.randomState = (Math.imul(this.randomState, 1_664_525) + 1_013_904_223) >>> 0;
    return this.randomState / 2 ** 32;
  }

  /** Appends an edit of the rules, as `rules apply` does, and returns its id. */
  publish(before: readonly string[], after: readonly string[], base?: number): string {
    const head = this.getRules();
    const version = (base ?? head.version) as RulesVersion;
    const edit = createEdit({ base: version, before, after, author: 'test' });
    this.incarnationCount += 1;
    const incarnation: Incarnation = brandId(`editor-${this.incarnationCount}`);
    this.server.append(RULES_STREAM, encodeBatch({ incarnation, sequence: 1, entries: [edit] }));
    return edit.edit;
  }

  /** Returns the accepted rules according to all records ever appended, including trimmed ones. */
  getRules(): RulesProjection {
    return this.rules;
  }

  /** Adds a fund to the budget. */
  topUp(name: string, tokens: number): void {
    const before = [...this.lines];
    this.lines.push(`fund ${name} budget=b tokens=${tokens} # t`);
    this.publish(before, this.lines);
    this.funded += tokens;
  }

  /** Starts a router, or restarts one that was killed as a new incarnation. */
  startRouter(index: number): void {
    const name = `router-${index + 1}`;
    const process = new PausableTimers(this.timers);
    const log = new FakeLog(this.server, process);
    this.incarnationCount += 1;
    const router = new Router({
      settings: this.createSettings(name),
      timers: process,
      logger: createLogger({ level: 'silent' }),
      metrics: createMetrics(),
      log: this.options.wrapLog?.(log, name) ?? log,
      vmList: new FakeVmList(this.vms, process),
      endpointClient: new FakeEndpointClient(this.endpoints, process),
      createPeerClient: () => new FakePeerClient(this.network, name, process),
      incarnation: brandId<Incarnation>(`${name}-${this.incarnationCount}`),
      random: () => this.random(),
    });
    this.options.patchRouter?.(router);
    const run = { name, router, process, log, isAlive: true };
    this.network.nodes.set(name, {
      process,
      handlers: router.peers.createHandlers(),
      isAlive: true,
    });
    this.routers[index] = run;
    this.runs.push(run);
    router.startControllers();
  }

  /** Kills a router without a graceful stop. */
  kill(index: number): void {
    const run = this.routers[index]!;
    run.isAlive = false;
    run.router.stopImmediately();
    run.process.pause();
    run.log.isPartitioned = true;
    this.network.nodes.get(run.name)!.isAlive = false;
  }

  /** Clears all faults and resumes paused routers. Killed routers are not restarted. */
  clearFaults(): void {
    this.server.outage = false;
    this.server.slowMs = 0;
    this.network.partitions.clear();
    this.network.loseAnswers = 0;
    this.endpoints.faults.clear();
    this.routers
      .filter(({ isAlive }) => isAlive)
      .forEach(({ log, process }) => {
        log.isPartitioned = false;
        log.loseAnswers = 0;
        log.duplicatedAppends = 0;
        process.resume();
      });
  }

  /** Sends a streamed chat request. The response is filled in as the virtual time advances. */
  chat(index: number, id: string, prompt: string, maxTokens: number): FakeResponse {
    const body = {
      model: 'm',
      stream: true,
      max_tokens: maxTokens,
      messages: [{ role: 'user', content: prompt }],
    };
    return this.send(index, 'POST', '/v1/chat/completions', body, { 'idempotency-key': id });
  }

  /** Sends an order, a non-idempotent call that may run at most once. */
  order(index: number, key: string): FakeResponse {
    const headers = { 'idempotency-key': key };
    return this.send(index, 'POST', '/services/orders/orders', { item: key }, headers);
  }

  /** Sends a request to a router. */
  send(
    index: number,
    method: string,
    path: string,
    body: unknown,
    headers: Readonly<Record<string, string>>,
  ): FakeResponse {
    const { router, process } = this.routers[index]!;
    const response = new FakeResponse();
    const request = {
      method,
      path,
      query: '',
      headers: {
        authorization: `Bearer ${CALLER_KEY}`,
        'x-request-deadline-ms': DEADLINE_MS,
        ...headers,
      },
      body: Buffer.from(JSON.stringify(body)),
      signal: new AbortController().signal,
    };
    process
      .whenRunning()
      .then(() => router.handle(new Exchange(request, response, this.timers.now())))
      .then((result) => {
        if (result.err) {
          response.error = createErrorBody(result.val).error;
        }
        response.isFinished = true;
      })
      .catch((error: Error) => {
        response.handlerError = error;
      });
    return response;
  }

  /** Returns the tokens that all runs, including terminated ones, have free, held or spent. */
  getOutstandingTokens(): number {
    return this.sumTokens(this.runs, ({ free, held, spent }) => free + held + spent);
  }

  /**
   * Returns the tokens that the fleet could still spend if all live routers returned their free tokens.
   * Tokens granted to terminated runs are lost, even if the run ended before it read the grant.
   */
  getRemainingTokens(): number {
    const liveRuns = this.runs.filter((run) => run.isAlive);
    const { projection } = auditBudgetStream(this.dump(getBudgetStream(0)));
    const account = projection.accounts.get(brandId<BudgetId>('b'));
    if (!account) {
      return this.funded;
    }
    const free = this.sumTokens(liveRuns, (allotment) => allotment.free);
    return account.funded - account.outstanding + free;
  }

  /** Audits all records ever appended to the log. */
  audit(): AuditReport {
    return auditLog({
      rules: this.dump(RULES_STREAM),
      budgets: [this.dump(getBudgetStream(0))],
      claims: this.dump(CLAIMS_STREAM),
      bills: this.dump(BILLS_STREAM),
    });
  }

  /** Returns all records ever appended to a stream. */
  dump(name: string): StreamDump {
    const batches = this.archive.get(name) ?? [];
    return { stream: brandId(name), first: brandId<Offset>(0), batches, undecodableOffsets: [] };
  }

  private archiveRecord(name: string, offset: Offset, data: Uint8Array): void {
    const batch = decodeBatch(data);
    this.appended.records += 1;
    this.appended.bytes += data.length;
    if (!batch) {
      return;
    }
    getOrCreate(this.archive, name, (): BatchRecord[] => []).push({ offset, batch });
    if (name === RULES_STREAM) {
      batch.entries.forEach((entry) => this.rules.apply(entry));
    }
  }

  private sumTokens(
    runs: readonly SimulatedRouter[],
    getTokens: (allotment: {
      free: number;
      held: number;
      spent: number;
      sent: number;
      received: number;
    }) => number,
  ): number {
    return runs
      .flatMap(({ router }) => router.budgets.shards)
      .flatMap((shard) => [...shard.getAllotments().values()])
      .reduce((sum, allotment) => sum + getTokens(allotment), 0);
  }

  private addVms(kind: string, count: number): void {
    for (let number = 1; number <= count; number += 1) {
      const name = `${kind}-${number}`;
      const availabilityZone = brandId<Vm['availabilityZone']>('zone-1');
      this.vms.push({ vm: brandId(name), host: name, port: 1, availabilityZone, state: 'live' });
    }
  }

  private createSettings(vm: string): Settings {
    const text = [
      '[router]',
      `vm = '${vm}'`,
      "availabilityZone = 'zone-1'",
      '[log]',
      "url = 'http://log'",
      `retentionMs = ${Math.min(this.options.retentionMs ?? 3_600_000, 86_400_000)}`,
      'pollMs = 5000',
      '[vms]',
      "url = 'http://vms'",
      '[peers]',
      "sharedKey = 'a-key-of-the-simulation'",
    ].join('\n');
    const settings = parseSettings('simulation', text).unwrap();
    const { idleReturnMs = settings.budgets.idleReturnMs, homesPerZone = 0 } = this.options;
    return { ...settings, budgets: { ...settings.budgets, idleReturnMs, homesPerZone } };
  }
}

class FakeVmList extends VmList {
  constructor(
    private readonly vms: readonly Vm[],
    private readonly process: PausableTimers,
  ) {
    super();
  }

  override async list(): Promise<Result<readonly Vm[], string>> {
    await this.process.whenRunning();
    return Ok([...this.vms]);
  }
}
