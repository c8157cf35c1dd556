import { test } from 'node:test';
import { expect } from 'earl';
import { LoadState } from '../../src/routing/loadState.js';

const SAMPLE_MS = 50;
const CALL_MS = 12; // a call on a vm of a third of a core
const NEIGHBOUR_CALLS_PER_SECOND = 8;

interface Played {
  /** When the process left the rotation, in milliseconds after the start, in order. */
  readonly leftAt: number[];
  readonly awayMs: number;
  /** Calls that came to a process that said that it can't serve them in time. */
  readonly refused: number;
  readonly served: number;
}

/**
 * Replays calls on one process that works through its events in turn: what came while it handled one round waits for
 * the next. Callers stay away while the process is out of the rotation, two seconds after it has said so.
 */
function play(getCallsPerSecond: (ms: number) => number, durationMs: number): Played {
  const state = new LoadState();
  const played = { leftAt: [] as number[], awayMs: 0, refused: 0, served: 0 };
  let now = 0;
  let dueAt = SAMPLE_MS;
  let arrived = 0;
  let away: number | undefined;
  while (now < durationMs) {
    const isTold = away !== undefined && now - away > 2_000;
    const waiting = Math.floor(arrived);
    arrived -= waiting;
    const isRefusing = state.isSaturated();
    played[isRefusing ? 'refused' : 'served'] += waiting;
    const roundMs = Math.max(1, waiting * (isRefusing ? CALL_MS / 4 : CALL_MS));
    arrived += isTold ? 0 : (getCallsPerSecond(now) * roundMs) / 1_000;
    now += roundMs;
    if (now >= dueAt) {
      state.record(now - dueAt, now);
      dueAt = now + SAMPLE_MS;
    }
    const isOverloaded = state.isOverloaded(now);
    played.awayMs += isOverloaded ? roundMs : 0;
    if (isOverloaded && away === undefined) {
      away = now;
      played.leftAt.push(now);
    }
    away = isOverloaded ? away : undefined;
  }
  return played;
}

test('a vm that gets ten times the calls of its neighbours leaves the rotation within two seconds', () => {
  const { leftAt, refused } = play(() => 10 * NEIGHBOUR_CALLS_PER_SECOND * 1.5, 10_000);
  expect(leftAt.length).toBeGreaterThanOrEqual(1);
  expect(leftAt[0]!).toBeLessThanOrEqual(2_000);
  expect(refused).toBeGreaterThan(0);
});

test('a vm that is drowned again as soon as it is back stays away longer each time', () => {
  const { leftAt, awayMs } = play(() => 10 * NEIGHBOUR_CALLS_PER_SECOND * 1.5, 60_000);
  expect(leftAt.length).toBeLessThanOrEqual(6);
  expect(awayMs).toBeGreaterThan(30_000);
});

test('a vm with its usual calls stays in the rotation, also when they double', () => {
  const { leftAt, refused } = play(
    (ms) => NEIGHBOUR_CALLS_PER_SECOND * (ms % 10_000 < 3_000 ? 2 : 1),
    60_000,
  );
  expect([leftAt.length, refused]).toEqual([0, 0]);
});

test('a vm that stood still for five seconds is not taken for an overloaded one', () => {
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
