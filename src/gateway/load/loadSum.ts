/** The sum of the loads of several gateways, kept up to date per report. */
import { DecayingSum } from '../../core/decayingSum.js';
import { getOrCreate } from '../../core/utilities.js';
import type { VmId } from '../../types/ids.js';
import type { LoadRow } from '../../types/peers.js';

/** Tokens sent are stated per second, so the decaying sum over one second is the rate. */
const SENT_TIME_CONSTANT_MS = 1_000;
/** An engine's speed changes with its load and its warm-up, within some tens of seconds. */
const SAMPLE_TIME_CONSTANT_MS = 20_000;
const ROW_LENGTH = 7;
/** More than a fleet has endpoints; bounds the memory that a faulty report takes. */
const ROWS_MAX = 2_000;

/** The sum for one endpoint. */
class EndpointSum {
  calls = 0;

  prefillTokens = 0;

  memoryTokens = 0;

  readonly sentTokens = new DecayingSum(SENT_TIME_CONSTANT_MS);

  readonly sampleMs = new DecayingSum(SAMPLE_TIME_CONSTANT_MS);

  readonly sampleTokens = new DecayingSum(SAMPLE_TIME_CONSTANT_MS);
}

/** Sums the rows of reports by endpoint. */
export class LoadSum {
  private readonly sums = new Map<VmId, EndpointSum>();

  /** Adds a report of a gateway. Its tokens sent and samples are counted once. */
  add(rows: readonly LoadRow[], nowMs: number): void {
    rows.forEach((row) => {
      const [endpoint, , , , sentTokens, sampleMs, sampleTokens] = row;
      const sum = getOrCreate(this.sums, endpoint, () => new EndpointSum());
      addInFlight(sum, row, 1);
      if (sentTokens > 0) {
        sum.sentTokens.add(sentTokens, nowMs);
      }
      if (sampleTokens > 0) {
        sum.sampleMs.add(sampleMs, nowMs);
        sum.sampleTokens.add(sampleTokens, nowMs);
      }
    });
  }

  /** Removes what a report that has expired or is replaced had in flight. */
  remove(rows: readonly LoadRow[]): void {
    rows.forEach((row) => {
      const sum = this.sums.get(row[0]);
      if (sum) {
        addInFlight(sum, row, -1);
      }
    });
  }

  /** Returns the sums; endpoints without any are left out. */
  getRows(nowMs: number): LoadRow[] {
    const rows: LoadRow[] = [];
    this.sums.forEach((sum, endpoint) => {
      const row: LoadRow = [
        endpoint,
        sum.calls,
        sum.prefillTokens,
        sum.memoryTokens,
        Math.round(sum.sentTokens.get(nowMs)),
        Math.round(sum.sampleMs.get(nowMs)),
        Math.round(sum.sampleTokens.get(nowMs)),
      ];
      if (row.some((value, index) => index > 0 && value !== 0)) {
        rows.push(row);
      } else {
        this.sums.delete(endpoint);
      }
    });
    return rows;
  }
}

/**
 * Adds up the rows of several sums by endpoint.
 *
 * @example
 * mergeRows([rows, otherRows]).length; // the number of endpoints with load
 */
export function mergeRows(parts: readonly (readonly LoadRow[])[]): LoadRow[] {
  if (parts.length === 1) {
    return [...parts[0]!];
  }
  const merged = new Map<VmId, LoadRow>();
  parts.forEach((rows) =>
    rows.forEach((row) => {
      const known = merged.get(row[0]);
      merged.set(
        row[0],
        known
          ? [
              row[0],
              known[1] + row[1],
              known[2] + row[2],
              known[3] + row[3],
              known[4] + row[4],
              known[5] + row[5],
              known[6] + row[6],
            ]
          : row,
      );
    }),
  );
  return [...merged.values()];
}

/**
 * Returns the rows whose numbers are usable; a faulty peer must not spoil the sums for good.
 *
 * @example
 * getValidRows([[endpoint, 1, 200, 300, 200, 0, 0]]).length; // 1
 */
export function getValidRows(rows: readonly LoadRow[]): readonly LoadRow[] {
  const isValid = (row: LoadRow) =>
    Array.isArray(row) &&
    row.length === ROW_LENGTH &&
    typeof row[0] === 'string' &&
    row.every((value, index) => index === 0 || (Number.isFinite(value) && Number(value) >= 0));
  return rows.length <= ROWS_MAX && rows.every(isValid)
    ? rows
    : rows.slice(0, ROWS_MAX).filter(isValid);
}

function addInFlight(
  sum: EndpointSum,
  [, calls, prefillTokens, memoryTokens]: LoadRow,
  sign: 1 | -1,
): void {
  sum.calls += sign * calls;
  sum.prefillTokens += sign * prefillTokens;
  sum.memoryTokens += sign * memoryTokens;
}
