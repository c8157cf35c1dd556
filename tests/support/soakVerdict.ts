/** Decides which requests of a soak got less than the product promises. */
import type { ProcessEnd } from './gatewayProcess.js';
import type { Answer } from './keptConnection.js';
import type { EndpointRun } from './soakEndpoints.js';

/** One request of a caller and what came of it. */
export interface SoakRequest {
  readonly id: string;
  readonly kind: string;
  /** The name of the gateway. */
  readonly gateway: string;
  readonly timeoutMs: number;
  readonly startedAt: number;
  readonly answer: Answer;
}

/** One stop of a gateway. */
export interface Stop {
  readonly gateway: string;
  readonly signalledAt: number;
  readonly endedAt: number;
  readonly end: ProcessEnd;
}

/** Options of `judgeRequests`. */
export interface VerdictOptions {
  readonly requests: readonly SoakRequest[];
  /** By the id of the call. */
  readonly runs: ReadonlyMap<string, EndpointRun>;
  readonly stops: readonly Stop[];
  readonly graceS: number;
}

/** The findings and what was counted. */
export interface SoakVerdict {
  readonly findings: readonly string[];
  /** Calls that ran and got no whole answer, with the reason why that is no finding. */
  readonly excused: readonly string[];
  /** Number of requests by what they got. */
  readonly counts: Readonly<Record<string, number>>;
}

/** Statuses that promise that a call has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** A connection that ends this soon after the last byte may have crossed it. */
const LOSS_SLACK_MS = 200;
const PLANNED_AFTER_SIGNAL_MS = 3_000;
const WORK_SHARE_OF_GRACE = 5 / 6;

/**
 * Returns a line for each request that got less than promised, and for each stop that was not orderly.
 *
 * @example
 * judgeRequests({ requests, runs: endpoints.runs, stops, graceS: 8 }).findings; // ['ran, and no whole answer: ...']
 */
export function judgeRequests({ requests, runs, stops, graceS }: VerdictOptions): SoakVerdict {
  const counts: Record<string, number> = {};
  const findings: string[] = [];
  const excused: string[] = [];
  requests.forEach((request) => {
    const stop = stops.find(({ gateway, signalledAt, endedAt }) => {
      const { answer } = request;
      return (
        gateway === request.gateway && request.startedAt <= endedAt && answer.endedAt >= signalledAt
      );
    });
    const run = runs.get(request.id);
    const verdict = judge(request, run, stop, graceS);
    const result = request.answer.status ?? 'no whole answer';
    const ran = run ? 'ran' : 'not run';
    const name = `${result}, ${ran}${stop ? ', in a stop' : ''}`;
    counts[name] = (counts[name] ?? 0) + 1;
    if (verdict) {
      const lines = verdict.isExcused ? excused : findings;
      lines.push(`${verdict.reason}: ${describe(request, run, stop)}`);
    }
  });
  stops.forEach(({ gateway, end, signalledAt, endedAt }) => {
    if (end.code !== 0) {
      findings.push(
        `${gateway} ended with ${end.code ?? end.signal} after ${endedAt - signalledAt} ms`,
      );
    }
  });
  return { findings, excused, counts };
}

function judge(
  { answer, startedAt, timeoutMs }: SoakRequest,
  run: EndpointRun | undefined,
  stop: Stop | undefined,
  graceS: number,
): { readonly reason: string; readonly isExcused: boolean } | undefined {
  const find = (reason: string) => ({ reason, isExcused: false });
  const excuse = (reason: string) => ({ reason, isExcused: true });
  const { status, sentAt, endedAt } = answer;
  if (run && run.count > 1) {
    return find('ran twice');
  }
  if (status !== undefined) {
    return run && NOT_RUN_STATUSES.has(status) ? find('ran, and refused as not run') : undefined;
  }
  if (!run) {
    const isRead = sentAt !== undefined && endedAt > sentAt + LOSS_SLACK_MS;
    return isRead ? find('not run, and no answer') : undefined;
  }
  if (endedAt - startedAt >= timeoutMs) {
    return excuse('its timeout had passed');
  }
  // An endpoint that still works near the end of the grace period can't be waited for.
  const isLate =
    stop !== undefined &&
    startedAt <= stop.signalledAt + PLANNED_AFTER_SIGNAL_MS &&
    (run.isAborted || run.endedAt === undefined || run.endedAt > endedAt - 1) &&
    endedAt > stop.signalledAt + graceS * 1_000 * WORK_SHARE_OF_GRACE;
  return isLate
    ? excuse('its endpoint still worked at the end of the grace period')
    : find('ran, and no whole answer');
}

function describe(
  { id, kind, gateway, startedAt, answer }: SoakRequest,
  run: EndpointRun | undefined,
  stop: Stop | undefined,
): string {
  const origin = stop?.signalledAt ?? startedAt;
  const at = (time: number | undefined) => (time === undefined ? 'never' : `${time - origin} ms`);
  return [
    `${kind} ${id} at ${gateway}`,
    `started ${at(startedAt)}`,
    `sent ${at(answer.sentAt)}`,
    `ran until ${at(run?.endedAt)}`,
    `ended ${at(answer.endedAt)}`,
    `${answer.receivedBytes} bytes of the body`,
    stop ? `times after SIGTERM; the process ended ${at(stop.endedAt)}` : 'no stop',
  ].join(', ');
}
