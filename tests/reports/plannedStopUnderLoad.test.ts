/** During a planned stop under load, requests that had just been accepted are cut off without an answer. */
import { test } from 'node:test';
import { expect } from 'earl';
import { sendResponse, createRoute, GatewayFleet } from '../support/gatewayFleet.js';

const TIMEOUT = { timeout: 30_000 };
const CALLERS = 20;

test(
  'every call that was sent to a stopping gateway has its whole answer',
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
          const { status, isComplete: isWhole } = await fleet.call('/a/x');
          outcomes.push(isWhole ? String(status) : 'cut');
        } catch {
          // Nothing listens any more.
          isStopped = true;
        }
      }
    };
    const callers = Array.from({ length: CALLERS }, callUntilStopped);
    await fleet.waitFor(() => outcomes.length > CALLERS);
    await fleet.gateway.stop();
    await Promise.all(callers);
    const count = (wanted: string) => outcomes.filter((outcome) => outcome === wanted).length;
    // Each call that the gateway has read is one that its caller has an answer to.
    expect([count('200'), count('503'), count('cut')]).toEqual([
      await fleet.countRequests('ok'),
      await fleet.countRefusals('draining'),
      0,
    ]);
    expect(count('200')).toBeGreaterThan(CALLERS);
  },
);
