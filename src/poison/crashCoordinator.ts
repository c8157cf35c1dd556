/**
 * Decides, for the whole fleet, whether crashes of endpoints have a call feature in common. Collects the reports of all
 * gateways and, before each decision, asks every gateway which features endpoints have answered and how often calls of
 * the same routes met a crash.
 */
import type { Logger } from '../core/logging.js';
import type { TimerService } from '../core/timers.js';
import { getErrorMessage } from '../core/utilities.js';
import type { RouteName } from '../types/gateway.js';
import type { VmId } from '../types/ids.js';
import type { CrashReport, CrashSurvey, CrashSurveyResponse, PeerClient } from '../types/peers.js';
import type { AnswerCounts, CrashId, Feature } from '../types/poison.js';
import { sumAnswerCounts, type CallHistory } from './callHistory.js';
import { assessFeatures, type CrashEvidence, type Suspicion } from './assessFeatures.js';
import type { PatternList } from './patternList.js';

/** Options of the coordinator. */
export interface CrashCoordinatorOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly client: PeerClient;
  readonly history: CallHistory;
  readonly patterns: PatternList;
  readonly getPeers: () => readonly VmId[];
}

const GATHER_MS = 30; // most gateways report one crash within this time; a later report leads to a further decision
const SURVEY_TIMEOUT_MS = 200;
const EVIDENCE_LIFETIME_MS = 3_600_000;
const EVIDENCE_MAX = 2_000;

/** The evidence and decisions of this process. */
export class CrashCoordinator {
  private evidence: CrashEvidence[] = [];

  private readonly pendingDecisions = new Set<CrashId>();

  constructor(private readonly options: CrashCoordinatorOptions) {}

  /** Adds a report to the evidence, and decides once the other gateways have reported the same crash. */
  addReport({ crash, ageMs, calls, shouldDecide }: CrashReport): void {
    const { timers } = this.options;
    const now = timers.now();
    const added = calls.map((call) => ({ ...call, crash, at: now - ageMs, answers: undefined }));
    this.evidence = [...this.evidence, ...added]
      .filter(({ at }) => at > now - EVIDENCE_LIFETIME_MS)
      .slice(-EVIDENCE_MAX);
    if (shouldDecide && !this.pendingDecisions.has(crash)) {
      this.pendingDecisions.add(crash);
      timers.subscribe(GATHER_MS, () => this.startDecision(crash));
    }
  }

  /** Returns what this process knows about the features and routes of a survey. */
  createSurveyResponse({ features, routes }: CrashSurvey): CrashSurveyResponse {
    const { timers, history } = this.options;
    const now = timers.now();
    return {
      answeredAgesMs: features.map((feature) => {
        const at = history.getAnsweredAt(feature);
        return at === undefined ? undefined : now - at;
      }),
      answers: routes.map((route) => history.getAnswerCounts(route)),
    };
  }

  /** Returns whether no decision is pending. */
  isIdle(): boolean {
    return this.pendingDecisions.size === 0;
  }

  private startDecision(crash: CrashId): void {
    this.decide(crash)
      .catch((error: unknown) => {
        this.options.logger.error('decision about a crash failed unexpectedly', {
          crash,
          error: (error as Error).stack,
        });
      })
      .finally(() => this.pendingDecisions.delete(crash));
  }

  private async decide(crash: CrashId): Promise<void> {
    const calls = this.evidence.filter((call) => call.crash === crash);
    const features = [...new Set(calls.flatMap((call) => call.features))];
    const routes = [...new Set(calls.map(({ route }) => route))];
    const responses = await this.survey({ features, routes });
    this.mergeAnswered(features, responses);
    const answers = new Map(
      routes.map((route, index) => [
        route,
        sumAnswerCounts(responses.map((response) => response.answers[index]!)),
      ]),
    );
    this.evidence = this.evidence.map((call) =>
      call.crash === crash ? { ...call, answers: answers.get(call.route) } : call,
    );
    const { suspect, patterns } = this.findPatterns(features, answers);
    this.options.logger.info('crash assessed', {
      crash,
      calls: calls.length,
      features: features.length,
      gateways: responses.length,
      suspect: suspect?.pattern.features,
      crashCount: suspect?.crashCount,
      coincidence: suspect?.coincidence,
      patterns,
    });
  }

  /** Asks all gateways, this one included; those that do not respond in time are left out. */
  private async survey(survey: CrashSurvey): Promise<CrashSurveyResponse[]> {
    const { client, getPeers, logger } = this.options;
    const responses = await Promise.all(
      getPeers().map(async (peer) => {
        try {
          return await client.call(peer, 'crash.survey', survey, SURVEY_TIMEOUT_MS);
        } catch (error) {
          logger.debug('no response to a crash survey', { peer, detail: getErrorMessage(error) });
          return undefined;
        }
      }),
    );
    return [
      this.createSurveyResponse(survey),
      ...responses.filter((response) => response !== undefined),
    ];
  }

  private mergeAnswered(
    features: readonly Feature[],
    responses: readonly CrashSurveyResponse[],
  ): void {
    const { history, timers } = this.options;
    const now = timers.now();
    responses.forEach(({ answeredAgesMs }) =>
      answeredAgesMs.forEach((ageMs, index) => {
        // JSON has no `undefined`, so a missing age arrives as `null`.
        if (typeof ageMs === 'number') {
          history.mergeAnsweredAt(features[index]!, now - ageMs);
        }
      }),
    );
  }

  /** Puts each pattern that the evidence supports into force. Returns how many, and the likeliest one so far. */
  private findPatterns(
    features: readonly Feature[],
    answers: ReadonlyMap<RouteName, AnswerCounts>,
  ): { suspect: Suspicion | undefined; patterns: number } {
    const { history, patterns } = this.options;
    let likeliest: Suspicion | undefined;
    for (let count = 0; ; count += 1) {
      const { poison, suspect } = assessFeatures({
        evidence: this.evidence,
        features,
        knownPatterns: patterns.getPatterns(),
        getAnsweredAt: (feature) => history.getAnsweredAt(feature),
        getAnswerCounts: ({ route }) => answers.get(route) ?? history.getAnswerCounts(route),
      });
      likeliest ??= suspect;
      if (!poison) {
        return { suspect: likeliest, patterns: count };
      }
      const { crashCount, coincidence } = poison;
      patterns.add(poison.pattern, 'evidence', { crashCount, coincidence });
    }
  }
}
