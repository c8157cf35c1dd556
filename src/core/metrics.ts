/** Counters, gauges and histograms of a router. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

const SECONDS_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30];

/** The metrics of one process. */
export interface Metrics {
  readonly registry: Registry;
  /** Completed requests, by service and result. */
  readonly requests: Counter<'service' | 'result'>;
  /** Refusals, by the name of their code. */
  readonly refusals: Counter<'reason'>;
  /** Calls refused because this process has too many, by the reason of the decision. */
  readonly shedCalls: Counter<'reason'>;
  /** Connections and requests that a limit on untrusted callers ended, by reason. */
  readonly callerLimits: Counter<'reason'>;
  /** Retries, by target and reason. */
  readonly retries: Counter<'target' | 'reason'>;
  /** Responses and stream events that belonged to another request. */
  readonly crossedResponses: Counter;
  /** Bills stored after the end of the response was sent, in billing mode `before`. */
  readonly lateBills: Counter;
  readonly tokens: Counter<'kind'>;
  readonly filterSeconds: Histogram<'filter'>;
  readonly firstTokenSeconds: Histogram<'service'>;
  /** Appends of prepaid accounts, by outcome. */
  readonly accountAppends: Counter<'outcome'>;
  /** Account records and balances that were not stored because no reader would accept them. */
  readonly unstorableRecords: Counter<'kind'>;
  /** Duration of syncs of prepaid accounts with the store, from the first read to the last append. */
  readonly accountSyncSeconds: Histogram<'outcome'>;
  /** Time that calls waited for a hold on prepaid tokens. */
  readonly holdSeconds: Histogram<'result'>;
  /** Holds at the homes of budgets, by result. */
  readonly remoteHolds: Counter<'result'>;
  /** Reports of advances to the homes that granted them, by result. */
  readonly advanceReports: Counter<'result'>;
  /** Time between the ends of two successful reads of a topic; a change is known that late at most. */
  readonly topicReadGapSeconds: Histogram<'topic'>;
  /** Calls sent to endpoints that have named a limit. */
  readonly limitedCalls: Counter;
  /** Complete responses that callers did not read and that were dropped. */
  readonly evictedResponses: Counter;
  /** Calls refused because of the load of their endpoints, by reason. */
  readonly admissionRefusals: Counter<'reason'>;
  /** Streams that callers took up again, by what decided where they began. */
  readonly resumedStreams: Counter<'result'>;
  /** Writes of the record of the streams that this process began. */
  readonly streamRecordWrites: Counter<'outcome'>;
  /** Endpoints whose calls broke off before an answer, by whether they still accepted connections. */
  readonly brokenEndpoints: Counter<'state'>;
  /** Patterns of refused calls, which crashed endpoints. */
  readonly poisonPatterns: Gauge;
  readonly openRequests: Gauge;
  readonly rulesVersion: Gauge;
  /** Smoothed lateness of timers in milliseconds; it rises when the process is overloaded. */
  readonly timerLatenessMs: Gauge;
}

/**
 * Creates the metrics in a new registry.
 *
 * @example
 * metrics.refusals.inc({ reason: 'budgetExhausted' });
 */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const registers = [registry];
  const counter = <Label extends string>(name: string, help: string, labelNames: Label[] = []) =>
    new Counter({ name: `shallotrock_${name}`, help, labelNames, registers });
  const gauge = (name: string, help: string) =>
    new Gauge({ name: `shallotrock_${name}`, help, registers });
  const histogram = <Label extends string>(name: string, help: string, labelNames: Label[]) =>
    new Histogram({
      name: `shallotrock_${name}`,
      help,
      labelNames,
      buckets: SECONDS_BUCKETS,
      registers,
    });
  return {
    registry,
    requests: counter('requests_total', 'Requests that ended.', ['service', 'result']),
    refusals: counter('refusals_total', 'Refusals by reason.', ['reason']),
    shedCalls: counter('shed_calls_total', 'Calls refused by an overloaded process.', ['reason']),
    callerLimits: counter(
      'caller_limits_total',
      'Connections and requests ended by a limit on untrusted callers.',
      ['reason'],
    ),
    retries: counter('retries_total', 'Retries by target and reason.', ['target', 'reason']),
    crossedResponses: counter('crossed_answers_total', 'Answers that belonged to another request.'),
    lateBills: counter('late_bills_total', 'Bills stored after the answer was released.'),
    tokens: counter('tokens_total', 'Tokens billed.', ['kind']),
    filterSeconds: histogram('filter_seconds', 'Time spent in each filter.', ['filter']),
    firstTokenSeconds: histogram('first_token_seconds', 'Time to the first token.', ['service']),
    accountAppends: counter('account_appends_total', 'Appends of prepaid accounts.', ['outcome']),
    unstorableRecords: counter(
      'unstorable_records_total',
      'Account records and balances that were not stored because no reader would accept them.',
      ['kind'],
    ),
    accountSyncSeconds: histogram('account_sync_seconds', 'Exchanges about prepaid accounts.', [
      'outcome',
    ]),
    holdSeconds: histogram('hold_seconds', 'Time that calls waited for prepaid tokens.', [
      'result',
    ]),
    remoteHolds: counter('remote_holds_total', 'Holds at the homes of budgets.', ['result']),
    advanceReports: counter(
      'advance_reports_total',
      'Reports of advances to the homes that granted them.',
      ['result'],
    ),
    topicReadGapSeconds: histogram(
      'topic_read_gap_seconds',
      'Time between the ends of two successful reads of a topic of the store.',
      ['topic'],
    ),
    limitedCalls: counter('limited_calls_total', 'Calls sent to endpoints that name a limit.'),
    evictedResponses: counter('evicted_responses_total', 'Responses that callers did not read.'),
    admissionRefusals: counter(
      'admission_refusals_total',
      'Calls refused because of the load of their endpoints.',
      ['reason'],
    ),
    resumedStreams: counter(
      'resumed_streams_total',
      'Streams that callers took up again, by what decided where they began.',
      ['result'],
    ),
    streamRecordWrites: counter(
      'stream_record_writes_total',
      'Writes of the record of the streams that this process began.',
      ['outcome'],
    ),
    brokenEndpoints: counter(
      'broken_endpoints_total',
      'Endpoints whose calls broke off before an answer, by their state.',
      ['state'],
    ),
    poisonPatterns: gauge('poison_patterns', 'Patterns of refused calls that crash endpoints.'),
    openRequests: gauge('open_requests', 'Requests in flight.'),
    timerLatenessMs: gauge('timer_late_ms', 'Smoothed lateness of timers in milliseconds.'),
    rulesVersion: gauge('rules_version', 'Version of the rules in force.'),
  };
}
