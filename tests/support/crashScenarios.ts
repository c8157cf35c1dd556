/** Runs simulations of crashes and checks the users' bounds. */
import { CrashSimulation, type CrashSimulationOptions } from './crashSimulation.js';

const DURATION_MS = 40_000;
/** The users allow three sends that begin this much later than the fifth crash. */
const STABLE_WINDOW_MS = 3_000;
const LATE_SENDS_MAX = 3;

/** Runs a simulation; `act` schedules further events. */
export async function simulateCrashes(
  options: CrashSimulationOptions,
  act: (simulation: CrashSimulation) => void = () => {},
): Promise<CrashSimulation> {
  const simulation = new CrashSimulation(options);
  act(simulation);
  await simulation.run(DURATION_MS);
  return simulation;
}

/** Returns a description of each bound that a simulation broke. */
export function checkBounds(simulation: CrashSimulation): string[] {
  const { poisonCrashedAt, poisonSentAt, refusedHarmlessCount } = simulation;
  const fifthCrashAt = poisonCrashedAt[4] ?? Number.POSITIVE_INFINITY;
  const lateSends = poisonSentAt.filter((at) => at > fifthCrashAt + STABLE_WINDOW_MS).length;
  return [
    ...(lateSends > LATE_SENDS_MAX ? [`${lateSends} sends after the fifth crash`] : []),
    ...(refusedHarmlessCount > 0 ? [`${refusedHarmlessCount} harmless calls refused`] : []),
  ];
}
