import { test } from 'node:test';
import { expect } from 'earl';
import { EscrowModel, type EscrowEvent } from '../properties/escrowModel.js';

const TOTAL = 1_000_000;
const BUDGETS = 4;
const APPEND_MS = 4;
const STARTUP_MS = 16_000; // the platform starts a fleet of this size this long before the first callers
const RECOVERY_MS = 3_000; // a fifth of the time within which the platform requires service again
const CALL_INTERVAL_MS = 20; // 12 calls per second and budget
/** One call in this many may be refused although its budget covers it. */
const CALLS_PER_REFUSAL = 500;

/** Creates calls to the vms and budgets in turn, which spend 2 % of each budget per second. */
function createCalls(vms: number, durationMs: number): EscrowEvent[] {
  return Array.from({ length: durationMs / CALL_INTERVAL_MS }, (_, index): EscrowEvent[] => [
    {
      kind: 'request',
      vm: (index * 31) % vms,
      budget: index % BUDGETS,
      tokens: index % 7 === 0 ? 4_500 : 1_200,
      runMs: 400,
    },
    { kind: 'wait', durationMs: CALL_INTERVAL_MS },
  ]).flat();
}

function createFleet(vms: number): EscrowModel {
  return new EscrowModel({
    seed: 1,
    total: TOTAL,
    vms,
    budgets: BUDGETS,
    appendMs: APPEND_MS,
    startupMs: STARTUP_MS,
  });
}

function getMaxRefusals({ served, refused }: EscrowModel): number {
  return (served + refused) / CALLS_PER_REFUSAL;
}

[9, 76, 195].forEach((vms) => {
  test(`${vms} vms refuse almost no call that its budget covers while the store is available`, async () => {
    const fleet = createFleet(vms);
    expect(await fleet.runEvents(createCalls(vms, 6_000))).toEqual(undefined);
    expect(fleet.refused).toBeLessThanOrEqual(getMaxRefusals(fleet));
  });

  test(`${vms} vms that are all partitioned from the store continue to serve from the fleet's claims`, async () => {
    const fleet = createFleet(vms);
    const events: EscrowEvent[] = [
      ...createCalls(vms, 6_000),
      { kind: 'cutStore', vm: 0, all: true },
      ...createCalls(vms, 7_000),
    ];
    expect(await fleet.runEvents(events)).toEqual(undefined);
    expect(fleet.refused).toBeLessThanOrEqual(getMaxRefusals(fleet));
  });
});

test('76 vms that all crash and restart serve from unclaimed tokens without waiting for each other', async () => {
  const fleet = createFleet(76);
  const calls = createCalls(76, 6_000);
  const events: EscrowEvent[] = [
    ...calls,
    { kind: 'kill', vm: 0, all: true },
    { kind: 'wait', durationMs: RECOVERY_MS },
    ...calls,
  ];
  expect(await fleet.runEvents(events)).toEqual(undefined);
  expect(fleet.refused).toBeLessThanOrEqual(getMaxRefusals(fleet));
});

[9, 76].forEach((vms) => {
  test(`${vms} idle vms under a sudden load refuse almost no call that its budget covers`, async () => {
    const fleet = new EscrowModel({
      seed: 1,
      total: TOTAL,
      vms,
      budgets: 24,
      appendMs: APPEND_MS,
      startupMs: STARTUP_MS,
    });
    const calls = Array.from({ length: 1_000 }, (_, index): EscrowEvent[] => [
      {
        kind: 'request',
        vm: (index * 31) % vms,
        budget: (index * 7) % 24,
        tokens: index % 7 === 0 ? 4_500 : 1_200,
        runMs: 3_000,
      },
      { kind: 'wait', durationMs: 2 },
    ]);
    expect(await fleet.runEvents(calls.flat())).toEqual(undefined);
    expect(fleet.refused).toBeLessThanOrEqual(getMaxRefusals(fleet));
  });
});
