import { test } from 'node:test';
import { expect } from 'earl';
import { LoadState } from '../../src/routing/loadState.js';

const SAMPLE_INTERVAL_MS = 50;
const CALL_PROCESSING_MS = 12; // on a vm with a third of a core
const NEIGHBOUR_CALLS_PER_SECOND = 8;

interface SimulationResult {
  /** When the process became overloaded, in milliseconds after the start, in order. */
  readonly overloadedAt: number[];
  readonly overloadedMs: number;
  /** Calls that arrived while the process was saturated. */
  readonly refused: number;
  readonly served: number;
}

/**
 * Simulates calls to one process with an event loop: calls that arrive during one iteration wait for the next. Callers
 * stop sending calls two seconds after the process has reported that it is overloaded, until it has recovered.
 */
function simulate(getCallsPerSecond: (ms: number) => number, durationMs: number): SimulationResult {
  const state = new LoadState();
  const result = { overloadedAt: [] as number[], overloadedMs: 0, refused: 0, served: 0 };
  let now = 0;
  let nextSampleAt = SAMPLE_INTERVAL_MS;
  let arrived = 0;
  let overloadedSince: number | undefined;
  while (now < durationMs) {
    const isOutOfRotation = overloadedSince !== undefined && now - overloadedSince > 2_000;
    const waiting = Math.floor(arrived);
    arrived -= waiting;
    const isRefusing = state.isSaturated();
    result[isRefusing ? 'refused' : 'served'] += waiting;
    const roundMs = Math.max(
      1,
      waiting * (isRefusing ? CALL_PROCESSING_MS / 4 : CALL_PROCESSING_MS),
    );
    arrived += isOutOfRotation ? 0 : (getCallsPerSecond(now) * roundMs) / 1_000;
    now += roundMs;
    if (now >= nextSampleAt) {
      state.record(now - nextSampleAt, now);
      nextSampleAt = now + SAMPLE_INTERVAL_MS;
    }
    const isOverloaded = state.isOverloaded(now);
    result.overloadedMs += isOverloaded ? roundMs : 0;
    if (isOverloaded && overloadedSince === undefined) {
      overloadedSince = now;
      result.overloadedAt.push(now);
    }
    overloadedSince = isOverloaded ? overloadedSince : undefined;
  }
  return result;
}

test('a vm that gets ten times the calls of its neighbours reports overload within two seconds', () => {
  const { overloadedAt, refused } = simulate(() => 10 * NEIGHBOUR_CALLS_PER_SECOND * 1.5, 10_000);
  expect(overloadedAt.length).toBeGreaterThanOrEqual(1);
  expect(overloadedAt[0]!).toBeLessThanOrEqual(2_000);
  expect(refused).toBeGreaterThan(0);
});

test('a vm that is overloaded again after each recovery stays out of the rotation for longer each time', () => {
  const { overloadedAt, overloadedMs } = simulate(
    () => 10 * NEIGHBOUR_CALLS_PER_SECOND * 1.5,
    60_000,
  );
  expect(overloadedAt.length).toBeLessThanOrEqual(6);
  expect(overloadedMs).toBeGreaterThan(30_000);
});

test('a vm under usual load stays in the rotation, also when the load doubles', () => {
  const { overloadedAt, refused } = simulate(
    (ms) => NEIGHBOUR_CALLS_PER_SECOND * (ms % 10_000 < 3_000 ? 2 : 1),
    60_000,
  );
  expect([overloadedAt.length, refused]).toEqual([0, 0]);
});

test('a vm that was suspended for five seconds does not report overload', () => {
  const state = new LoadState();
  for (let now = 50; now < 2_000; now += 50) {
    state.record(1, now);
  }
  state.record(5_000, 7_000);
  for (let now = 7_050; now < 9_000; now += 50) {
    state.record(1, now);
    expect([state.isOverloaded(now), state.isSaturated()]).toEqual([false, false]);
  }
});
