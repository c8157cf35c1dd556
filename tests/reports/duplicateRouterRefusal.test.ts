/** Failure: a late copy of an earlier refusal on a kept connection makes a router report a running call as not run. */
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import { createMetrics } from '../../src/core/metrics.js';
import { SystemTimers } from '../../src/core/timers.js';
import { ATTEMPT_HEADER, checkResponseHead, type Attempt } from '../../src/relay/attempt.js';
import { readResponseBody } from '../../src/relay/readResponseBody.js';
import { HttpEndpointClient } from '../../src/transports/httpEndpointClient.js';
import type { EndpointCall } from '../../src/types/endpoints.js';
import { startRawEndpoint } from '../support/rawEndpoint.js';

const REUSE_DELAY_MS = 20; // the client reuses a connection only after it has handled the end of the response
const IDS = { 'no id': '', 'its own id': `${ATTEMPT_HEADER}: second\r\n` };

[429, 503].forEach((status) => {
  Object.entries(IDS).forEach(([idName, id]) => {
    [true, false].forEach((hasOwnConnection) => {
      const isProof = id !== '' || hasOwnConnection;
      const connection = hasOwnConnection ? 'its own' : 'a kept';
      test(`a ${status} with ${idName} on ${connection} connection ${isProof ? 'proves' : 'does not prove'} that a call was not run`, async (context) => {
        const sockets: Socket[] = [];
        const endpoint = await startRawEndpoint(context, (socket, call) => {
          sockets.push(socket);
          const head =
            call.id === 'first' ? 'HTTP/1.1 200 OK\r\n' : `HTTP/1.1 ${status} Refused\r\n${id}`;
          socket.write(`${head}content-length: 0\r\n\r\n`);
        });
        const client = new HttpEndpointClient();
        context.after(() => client.close());
        const createCall = (callId: string): EndpointCall => ({
          url: `http://127.0.0.1:${endpoint.port}/`,
          method: 'GET',
          headers: { [ATTEMPT_HEADER]: callId, 'shallotrock-attempt-id': callId },
          body: undefined,
          hasOwnConnection,
          signal: new AbortController().signal,
        });
        const first = (await client.send(createCall('first'))).unwrap();
        await readResponseBody(first);
        await new SystemTimers().sleep(REUSE_DELAY_MS);
        const call = createCall('second');
        const response = (await client.send(call)).unwrap();
        expect(sockets[0] === sockets[1]).toEqual(!hasOwnConnection);
        const attempt = {
          slot: { endpoint: { info: { vm: 'vm1' } }, release: () => {} },
          id: 'second',
          metrics: createMetrics(),
        } as unknown as Attempt;
        const result = checkResponseHead(attempt, response, call);
        expect(result?.kind === 'failed' && [result.isSent, result.refusal.ran]).toEqual([
          !isProof,
          isProof ? 'not_run' : 'unknown',
        ]);
      });
    });
  });
});
