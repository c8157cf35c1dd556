/** A gateway with endpoints of several software versions, whose streams break off and are resumed. */
import type { TestContext } from 'node:test';
import type { Route } from '../../src/types/gateway.js';
import { GatewayFleet, sendEvents } from './gatewayFleet.js';

/** Starts a gateway with one route and one endpoint for each version. */
export async function startVersionedFleet(
  context: TestContext,
  route: Route,
  versions: readonly string[],
): Promise<GatewayFleet> {
  const fleet = await GatewayFleet.start(context);
  await fleet.configure([route]);
  for (const [index, version] of versions.entries()) {
    await addVersionedEndpoint(fleet, `e${index}`, version);
  }
  return fleet;
}

/**
 * Adds an endpoint that breaks a new stream off after two of four events, and completes a resumed one. The data of an
 * event is the version.
 */
export async function addVersionedEndpoint(
  fleet: GatewayFleet,
  id: string,
  version: string,
): Promise<void> {
  await fleet.addEndpoint(
    id,
    (message, response) => {
      const last = message.headers['last-event-id'];
      sendEvents(message, response, []);
      const ids = last === undefined ? [1, 2] : [3, 4];
      response.write(ids.map((event) => `id: ${event}\ndata: ${version}\n\n`).join(''), () =>
        last === undefined ? response.destroy() : response.end(),
      );
    },
    { version },
  );
}

/** Returns the version of each event of a stream. */
export function getEventVersions(body: string): string[] {
  return [...body.matchAll(/data: (\S+)/g)].map(([, version]) => version!);
}
