import { test } from 'node:test';
import { expect } from 'earl';
import type { Answer } from '../support/keptConnection.js';
import type { EndpointRun } from '../support/soakEndpoints.js';
import { judgeRequests, type SoakVerdict, type Stop } from '../support/soakVerdict.js';

const STOP: Stop = {
  gateway: 'vm',
  signalledAt: 10_000,
  endedAt: 18_000,
  end: { code: 0, signal: null },
};

/** Judges one call that starts a second after the signal. */
function judge(
  answer: Partial<Answer>,
  run?: Partial<EndpointRun>,
  { timeoutMs = 15_000, stop = STOP } = {},
): SoakVerdict {
  return judgeRequests({
    requests: [
      {
        id: 'a',
        kind: 'booking',
        gateway: 'vm',
        timeoutMs,
        startedAt: 11_000,
        answer: {
          status: undefined,
          receivedBytes: 0,
          sentAt: 11_000,
          endedAt: 11_100,
          ...answer,
        },
      },
    ],
    runs: new Map(run ? [['a', { count: 1, endedAt: undefined, isAborted: false, ...run }]] : []),
    stops: [stop],
    graceS: 8,
  });
}

const getReasons = ({ findings, excused }: SoakVerdict) => ({
  findings: findings.map((line) => line.split(':')[0]),
  excused: excused.map((line) => line.split(':')[0]),
});

test('a call that ran and got no whole answer is a finding', () => {
  expect(getReasons(judge({}, {}))).toEqual({
    findings: ['ran, and no whole answer'],
    excused: [],
  });
});

test('a call whose endpoint still works at the end of the grace period is excused, an ended one is not', () => {
  const late = { endedAt: 17_500 };
  expect(getReasons(judge(late, { isAborted: true, endedAt: 17_500 }))).toEqual({
    findings: [],
    excused: ['its endpoint still worked at the end of the grace period'],
  });
  expect(getReasons(judge(late, { endedAt: 12_000 }))).toEqual({
    findings: ['ran, and no whole answer'],
    excused: [],
  });
});

test('a call whose timeout had passed is excused', () => {
  expect(getReasons(judge({ endedAt: 12_600 }, {}, { timeoutMs: 1_500 }))).toEqual({
    findings: [],
    excused: ['its timeout had passed'],
  });
});

test('a call that ran twice, or ran though it was refused as not run, is a finding', () => {
  expect(getReasons(judge({ status: 200 }, { count: 2 })).findings).toEqual(['ran twice']);
  expect(getReasons(judge({ status: 503 }, {})).findings).toEqual(['ran, and refused as not run']);
  expect(getReasons(judge({ status: 200 }, {})).findings).toEqual([]);
});

test('a call that was not run is a finding if its connection ends long after it was sent', () => {
  expect(getReasons(judge({ endedAt: 11_300 })).findings).toEqual(['not run, and no answer']);
  expect(getReasons(judge({ endedAt: 11_100 })).findings).toEqual([]);
});

test('a stop that does not end with exit code 0 is a finding', () => {
  const stop: Stop = { ...STOP, end: { code: null, signal: 'SIGKILL' } };
  expect(judge({ status: 200 }, {}, { stop }).findings).toEqual([
    'vm ended with SIGKILL after 8000 ms',
  ]);
});
