/**
 * Random interleavings of requests, retries, top-ups, crashes, pauses, partitions, outages and lost
 * responses on a simulated fleet. The guarantees are checked after each step and at the end.
 */
import fc from 'fast-check';
import { getExpectedWords } from '../support/fakeEndpoints.js';
import { Simulation, type FakeResponse, type SimulationOptions } from '../support/simulation.js';

/** One step of an interleaving. `router` is taken modulo the number of routers. */
export type Action =
  | { readonly kind: 'chat'; readonly router: number; readonly tokens: number }
  | { readonly kind: 'retryChat'; readonly router: number; readonly pick: number }
  | { readonly kind: 'order'; readonly router: number; readonly key: number }
  | { readonly kind: 'topUp'; readonly tokens: number }
  | { readonly kind: 'raceRules'; readonly tokens: number }
  | { readonly kind: 'kill'; readonly router: number }
  | { readonly kind: 'restart'; readonly router: number }
  | { readonly kind: 'pause'; readonly router: number }
  | { readonly kind: 'resume'; readonly router: number }
  | { readonly kind: 'cutLog'; readonly router: number; readonly cut: boolean }
  | { readonly kind: 'cutPeers'; readonly a: number; readonly b: number; readonly cut: boolean }
  | { readonly kind: 'outage'; readonly on: boolean }
  | { readonly kind: 'slowLog'; readonly ms: number }
  | { readonly kind: 'loseLogAnswers'; readonly router: number; readonly count: number }
  | { readonly kind: 'doubleAppends'; readonly router: number; readonly count: number }
  | { readonly kind: 'losePeerAnswers'; readonly count: number }
  | { readonly kind: 'breakEndpoint'; readonly endpoint: string; readonly after: number }
  | { readonly kind: 'mendEndpoint'; readonly endpoint: string }
  | { readonly kind: 'checkpoint'; readonly router: number }
  | { readonly kind: 'advance'; readonly ms: number };

/** A guarantee was violated. */
export class GuaranteeViolation extends Error {}

/** Options of an interleaving. */
export interface InterleavingOptions extends SimulationOptions {
  /** Whether to check at the end that a request is served if the remaining tokens cover it. Default true. */
  readonly checkService?: boolean;
}

const router = fc.nat({ max: 4 });
const tokens = fc.integer({ min: 1, max: 120 });
const endpoint = fc.constantFrom('engine-1', 'engine-2', 'service-1', 'service-2');
const count = fc.integer({ min: 1, max: 3 });

/** Generates steps, weighted so that requests are more frequent than faults. */
export const action: fc.Arbitrary<Action> = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('chat' as const), router, tokens }) },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('retryChat' as const), router, pick: fc.nat(9) }),
  },
  {
    weight: 5,
    arbitrary: fc.record({ kind: fc.constant('order' as const), router, key: fc.nat(3) }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      ms: fc.integer({ min: 1, max: 4_000 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('topUp' as const), tokens }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('raceRules' as const), tokens }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('kill' as const), router }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), router }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('pause' as const), router }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('resume' as const), router }) },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('cutLog' as const), router, cut: fc.boolean() }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('cutPeers' as const),
      a: router,
      b: router,
      cut: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('outage' as const), on: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('slowLog' as const), ms: fc.nat(300) }) },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('loseLogAnswers' as const), router, count }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('doubleAppends' as const), router, count }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('losePeerAnswers' as const), count }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('breakEndpoint' as const),
      endpoint,
      after: fc.nat(4),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('mendEndpoint' as const), endpoint }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('checkpoint' as const), router }) },
);

/** Time after the last fault, longer than any deadline, retry or hold of a simulation. */
const RECOVERY_MS = 15_000;

interface SentChat {
  readonly id: string;
  readonly prompt: string;
  readonly tokens: number;
  readonly router: string;
  readonly response: FakeResponse;
}

interface SentOrder {
  readonly key: string;
  readonly response: FakeResponse;
}

/** Executes one sequence of actions on a simulated fleet. */
export class Interleaving {
  readonly simulation: Simulation;

  private readonly chats: SentChat[] = [];

  private readonly orders: SentOrder[] = [];

  private readonly lastVersions = new Map<string, number>();

  private nameCount = 0;

  constructor(private readonly options: InterleavingOptions = {}) {
    this.simulation = new Simulation(options);
  }

  /** Runs the actions, clears all faults and checks the final state. Throws `GuaranteeViolation`. */
  async run(actions: readonly Action[]): Promise<void> {
    const { simulation } = this;
    await simulation.advance(1_500);
    for (const step of actions) {
      this.apply(step);
      await simulation.advance(step.kind === 'advance' ? step.ms : 7);
      this.checkStep();
    }
    simulation.clearFaults();
    await simulation.advance(RECOVERY_MS);
    this.checkStep();
    this.checkEnd();
    if (this.options.checkService !== false) {
      await this.checkService();
    }
  }

  private apply(step: Action): void {
    const { simulation } = this;
    const { server, network, endpoints } = simulation;
    switch (step.kind) {
      case 'chat':
        this.nameCount += 1;
        this.sendChat(
          step.router,
          `chat-${this.nameCount}`,
          `prompt ${this.nameCount}`,
          step.tokens,
        );
        break;
      case 'retryChat':
        this.retryChat(step.router, step.pick);
        break;
      case 'order':
        this.sendOrder(step.router, `order-${step.key}`);
        break;
      case 'topUp':
        this.nameCount += 1;
        simulation.topUp(`more-${this.nameCount}`, step.tokens);
        break;
      case 'raceRules':
        this.raceRules(step.tokens);
        break;
      case 'kill':
        if (this.getRouter(step.router).isAlive) {
          simulation.kill(this.getIndex(step.router));
        }
        break;
      case 'restart':
        if (!this.getRouter(step.router).isAlive) {
          simulation.startRouter(this.getIndex(step.router));
        }
        break;
      case 'pause':
        this.getRouter(step.router).process.pause();
        break;
      case 'resume':
        if (this.getRouter(step.router).isAlive) {
          this.getRouter(step.router).process.resume();
        }
        break;
      case 'cutLog':
        this.getRouter(step.router).log.isPartitioned =
          step.cut || !this.getRouter(step.router).isAlive;
        break;
      case 'cutPeers':
        network.setPartitioned(this.getRouter(step.a).name, this.getRouter(step.b).name, step.cut);
        break;
      case 'outage':
        server.outage = step.on;
        break;
      case 'slowLog':
        server.slowMs = step.ms;
        break;
      case 'loseLogAnswers':
        this.getRouter(step.router).log.loseAnswers = step.count;
        break;
      case 'doubleAppends':
        this.getRouter(step.router).log.duplicatedAppends = step.count;
        break;
      case 'losePeerAnswers':
        network.loseAnswers = step.count;
        break;
      case 'breakEndpoint':
        endpoints.setFaults(step.endpoint, { breakAfter: step.after });
        break;
      case 'mendEndpoint':
        endpoints.setFaults(step.endpoint, {});
        break;
      case 'checkpoint':
        this.writeCheckpoints(step.router);
        break;
      default:
    }
  }

  private getIndex(routerNumber: number): number {
    return routerNumber % this.simulation.routers.length;
  }

  private getRouter(routerNumber: number) {
    return this.simulation.routers[this.getIndex(routerNumber)]!;
  }

  private sendChat(routerNumber: number, id: string, prompt: string, maxTokens: number): void {
    const target = this.getRouter(routerNumber);
    if (target.isAlive) {
      const response = this.simulation.chat(this.getIndex(routerNumber), id, prompt, maxTokens);
      this.chats.push({ id, prompt, tokens: maxTokens, router: target.name, response });
    }
  }

  private retryChat(routerNumber: number, pick: number): void {
    const failed = this.chats.filter(({ response }) => !response.isComplete());
    const chosen = failed[pick % Math.max(1, failed.length)];
    if (chosen) {
      this.sendChat(routerNumber, chosen.id, chosen.prompt, chosen.tokens);
    }
  }

  private sendOrder(routerNumber: number, key: string): void {
    if (this.getRouter(routerNumber).isAlive) {
      const response = this.simulation.order(this.getIndex(routerNumber), key);
      this.orders.push({ key, response });
    }
  }

  /** Publishes two edits of the same version, of which only the first may be accepted. */
  private raceRules(amount: number): void {
    const { simulation } = this;
    const before = [...simulation.lines];
    const { version } = simulation.getRules();
    this.nameCount += 1;
    const winner = [...before, `fund race-${this.nameCount} budget=b tokens=${amount} # first`];
    const loser = [...before, `fund lost-${this.nameCount} budget=b tokens=100000 # second`];
    simulation.publish(before, winner, version);
    simulation.publish(before, loser, version);
    simulation.lines.splice(0, simulation.lines.length, ...winner);
    simulation.funded += amount;
  }

  private writeCheckpoints(routerNumber: number): void {
    const { router: target, isAlive, process } = this.getRouter(routerNumber);
    if (isAlive && !process.isPaused()) {
      target.writeCheckpoints();
    }
  }

  private checkStep(): void {
    const { simulation } = this;
    const outstandingTokens = simulation.getOutstandingTokens();
    if (outstandingTokens > simulation.funded) {
      throw new GuaranteeViolation(
        `${outstandingTokens} tokens outstanding, ${simulation.funded} funded`,
      );
    }
    simulation.endpoints.orders.forEach((runs, key) => {
      if (runs > 1) {
        throw new GuaranteeViolation(`${key} ran ${runs} times`);
      }
    });
    this.chats.forEach((chat) => checkResponse(chat));
    simulation.runs.forEach(({ router: { rules } }, index) => {
      const version = rules.getVersion();
      if (version < (this.lastVersions.get(String(index)) ?? 0)) {
        throw new GuaranteeViolation(`the rules of run ${index} reverted to version ${version}`);
      }
      this.lastVersions.set(String(index), version);
    });
  }

  private checkEnd(): void {
    this.checkOrders();
    this.checkRules();
    this.chats.forEach(({ id, response }) => {
      const isAnswered = response.isFinished || !this.isServedByLiveRouter(response);
      if (!isAnswered) {
        throw new GuaranteeViolation(`${id} got no response`);
      }
    });
    this.checkBills();
    const broken = this.simulation.audit().findings.filter(({ severity }) => severity === 'broken');
    if (broken.length > 0) {
      throw new GuaranteeViolation(`audit: ${broken[0]!.detail}`);
    }
  }

  private isServedByLiveRouter(response: FakeResponse): boolean {
    const chat = this.chats.find((sent) => sent.response === response)!;
    const runs = this.simulation.runs.filter(({ name }) => name === chat.router);
    return runs.every(({ isAlive }) => isAlive);
  }

  /** Checks that a call reported as not run by all responses did not run, and a successful one ran once. */
  private checkOrders(): void {
    const keys = new Set(this.orders.map(({ key }) => key));
    keys.forEach((key) => {
      const responses = this.orders.filter((sent) => sent.key === key).map((sent) => sent.response);
      const runs = this.simulation.endpoints.orders.get(key) ?? 0;
      const isAnswered = responses.some(({ status }) => status === 201);
      const isReportedNotRun = responses.every(({ error }) => error?.ran === 'not_run');
      if (isReportedNotRun && runs > 0) {
        throw new GuaranteeViolation(`${key} was reported as not run but ran`);
      }
      if (isAnswered && runs !== 1) {
        throw new GuaranteeViolation(`${key} got a response but ran ${runs} times`);
      }
    });
  }

  private checkRules(): void {
    const accepted = this.simulation.getRules().version;
    this.simulation.routers
      .filter(({ isAlive, router: { rules } }) => isAlive && rules.reader.isReady())
      .forEach(({ name, router: { rules } }) => {
        if (rules.getVersion() !== accepted) {
          throw new GuaranteeViolation(
            `${name} has rules version ${rules.getVersion()}, accepted is ${accepted}`,
          );
        }
      });
  }

  /** Checks that each complete response of a router that is still alive has a bill. */
  private checkBills(): void {
    const billed = new Set<string>();
    this.simulation.dump('bills').batches.forEach(({ batch }) => {
      batch.entries.forEach((entry) => {
        if (entry.kind === 'bill') {
          billed.add(entry.request);
        }
      });
    });
    this.chats
      .filter(({ response }) => response.isComplete() && this.isServedByLiveRouter(response))
      .forEach(({ id }) => {
        if (!billed.has(`w/${id}`)) {
          throw new GuaranteeViolation(`${id} got a response but was not billed`);
        }
      });
  }

  /** Checks that, without faults, a request that the remaining tokens cover is served. */
  private async checkService(): Promise<void> {
    const { simulation } = this;
    const index = simulation.routers.findIndex(({ isAlive }) => isAlive);
    const remainingTokens = simulation.getRemainingTokens();
    const maxTokens = 10;
    if (index < 0 || remainingTokens < 120 + maxTokens) {
      return;
    }
    const response = simulation.chat(index, 'last', 'last', maxTokens);
    await simulation.advance(10_000);
    if (!response.isComplete()) {
      const reason = response.error?.code ?? 'no answer';
      throw new GuaranteeViolation(`false refusal (${reason}) with ${remainingTokens} tokens left`);
    }
  }
}

/** Checks that a caller received a prefix of its own response, and all of it if the stream is complete. */
function checkResponse({ id, prompt, tokens: maxTokens, response }: SentChat): void {
  if (response.handlerError) {
    throw response.handlerError;
  }
  const words = response.getWords();
  const expected = getExpectedWords(prompt, maxTokens);
  const isPart = words.every((word, index) => word === expected[index]);
  if (!isPart || (response.isComplete() && words.length !== expected.length)) {
    throw new GuaranteeViolation(`${id} received text that is not a prefix of its response`);
  }
}

/** Runs interleavings and returns the run details of fast-check. */
export function checkInterleavings(options: {
  readonly runs: number;
  readonly seed: number;
  readonly interleaving?: InterleavingOptions;
  readonly path?: string;
  /** Whether to shrink a failing sequence. Default true. */
  readonly shrink?: boolean;
}): Promise<fc.RunDetails<[Action[]]>> {
  const { runs, seed, interleaving, path, shrink = true } = options;
  const property = fc.asyncProperty(
    fc.array(action, { minLength: 5, maxLength: 40 }),
    async (actions) => {
      await new Interleaving(interleaving).run(actions);
    },
  );
  return fc.check(property, { numRuns: runs, seed, path, endOnFailure: !shrink });
}

/** Formats a failed check: seed, error and failing sequence. Returns an empty string on success. */
export function describeFailure(details: fc.RunDetails<[Action[]]>): string {
  if (!details.failed) {
    return '';
  }
  const steps = JSON.stringify(details.counterexample?.[0]);
  const { errorInstance } = details;
  const message = errorInstance instanceof Error ? errorInstance.stack : String(errorInstance);
  return `seed ${details.seed} path ${details.counterexamplePath}: ${message}: ${steps}`;
}
