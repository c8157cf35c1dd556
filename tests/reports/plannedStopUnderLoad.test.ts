/** Failure: during a planned stop under load, requests that were just accepted get no response. */
import { test } from 'node:test';
import { expect } from 'earl';
import { sendResponse, createRoute, GatewayFleet } from '../support/gatewayFleet.js';

const TIMEOUT = { timeout: 30_000 };
const CALLERS = 20;

test(
  'every call that a stopping gateway has read gets a complete response',
  TIMEOUT,
  async (context) => {
    const fleet = await GatewayFleet.start(context);
    await fleet.configure([createRoute('/a/')]);
    await fleet.addEndpoint('e1', (message, response) => {
      setTimeout(() => sendResponse(message, response, 'done'), 20);
    });
    let isStopped = false;
    const outcomes: string[] = [];
    const callUntilStopped = async (): Promise<void> => {
      while (!isStopped) {
        try {
          const { status, isComplete } = await fleet.call('/a/x');
          outcomes.push(isComplete ? String(status) : 'cut');
        } catch {
          // The gateway no longer listens.
          isStopped = true;
        }
      }
    };
    const callers = Array.from({ length: CALLERS }, callUntilStopped);
    await fleet.waitFor(() => outcomes.length > CALLERS);
    await fleet.gateway.stop();
    await Promise.all(callers);
    const count = (wanted: string) => outcomes.filter((outcome) => outcome === wanted).length;
    // The gateway's counts must match the responses that the callers received.
    expect([count('200'), count('503'), count('cut')]).toEqual([
      await fleet.countRequests('ok'),
      await fleet.countRefusals('draining'),
      0,
    ]);
    expect(count('200')).toBeGreaterThan(CALLERS);
  },
);
