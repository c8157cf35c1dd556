import { test } from 'node:test';
import { expect } from 'earl';
import { CrashSimulation, type CrashSimulationOptions } from '../support/crashSimulation.js';
import { checkBounds, simulateCrashes } from '../support/crashScenarios.js';

const fleet = { vmCount: 9, endpointCount: 12, callsPerSecond: 60 };
const SEEDS = [1, 2, 3, 4, 5, 6];

/** Runs the scenario for each seed and returns what broke a bound. */
async function checkSeeds(
  options: Omit<CrashSimulationOptions, 'seed'>,
  act?: (simulation: CrashSimulation) => void,
): Promise<string[]> {
  const failures: string[] = [];
  for (const seed of SEEDS) {
    const simulation = await simulateCrashes({ ...options, seed }, act);
    failures.push(...checkBounds(simulation).map((failure) => `seed ${seed}: ${failure}`));
  }
  return failures;
}

test('calls with a part that crashes endpoints are refused by all vms, and no other call is', async () => {
  expect(await checkSeeds({ ...fleet, poisonShare: 0.02 })).toEqual([]);
});

test('calls that crash endpoints and are retried are refused too', async () => {
  expect(await checkSeeds({ ...fleet, poisonShare: 0.02, retries: 2 })).toEqual([]);
});

test('a rare part that crashes endpoints is found while endpoints crash for other reasons', async () => {
  expect(await checkSeeds({ ...fleet, poisonShare: 0.02, crashesPerSecond: 0.5 })).toEqual([]);
});

test('no call is refused while endpoints only crash for other reasons', async () => {
  expect(await checkSeeds({ ...fleet, crashesPerSecond: 2 })).toEqual([]);
});

test('no call is refused while crowded endpoints crash for other reasons', async () => {
  const options = { ...fleet, callsPerSecond: 150, crashesPerSecond: 2 };
  expect(await checkSeeds(options)).toEqual([]);
});

test('a part that crashes endpoints is found although the vms that collect the evidence are killed', async () => {
  const failures = await checkSeeds({ ...fleet, poisonShare: 0.02 }, (simulation) => {
    [6_000, 7_500, 9_000, 11_000].forEach((at) =>
      simulation.timers.subscribe(at, () => simulation.restartVm(0)),
    );
  });
  expect(failures).toEqual([]);
});

test('vms that were all killed after a part was found refuse its calls from the start', async () => {
  const failures = await checkSeeds({ ...fleet, poisonShare: 0.03 }, (simulation) => {
    simulation.timers.subscribe(16_000, () => {
      simulation.vms.slice().forEach(() => simulation.restartVm(0));
    });
  });
  expect(failures).toEqual([]);
});

test('a part that crashes endpoints is found while the store is unavailable, and stored later', async () => {
  const failures = await checkSeeds({ ...fleet, poisonShare: 0.03 }, (simulation) => {
    const setPartitioned = (isPartitioned: boolean) =>
      simulation.vms.forEach(({ storeFaults }) => Object.assign(storeFaults, { isPartitioned }));
    simulation.timers.subscribe(4_000, () => setPartitioned(true));
    simulation.timers.subscribe(16_000, () => setPartitioned(false));
    simulation.timers.subscribe(26_000, () => {
      simulation.vms.slice().forEach(() => simulation.restartVm(0));
    });
  });
  expect(failures).toEqual([]);
});

test('a vm cut off from its peers refuses calls with the part soon after the cut has healed', async () => {
  const failures = await checkSeeds({ ...fleet, poisonShare: 0.03 }, (simulation) => {
    const { network, vms, timers } = simulation;
    const setCut = (isCut: boolean) =>
      vms.slice(1).forEach(({ id }) => network.setPartitioned(vms[0]!.id, id, isCut));
    timers.subscribe(4_000, () => setCut(true));
    timers.subscribe(12_000, () => setCut(false));
  });
  expect(failures).toEqual([]);
});

test('a broken connection to an endpoint that still listens is no crash', async () => {
  const simulation = new CrashSimulation({ ...fleet, seed: 1 });
  await simulation.run(10_000);
  const [vm] = simulation.vms;
  for (let count = 0; count < 10; count += 1) {
    vm!.controller.recordBroken(simulation.getEntry(count), {
      route: simulation.route,
      features: simulation.poisonousFeatures,
    });
    await simulation.timers.advance(1_000);
  }
  expect(vm!.controller.patterns.getPatterns()).toEqual([]);
});
