/** Measures costs that need real sockets: propagation of an edit, probes, idle connections and live streams. */
import { createServer } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { startFleet, waitUntilReady, sampleKeys, type Fleet } from '../launch/fleet.js';
import { startProcess } from '../launch/processes.js';
import { readMessageBody } from '../standins/httpStandin.js';
import { RulesController } from '../src/controllers/rulesController.js';
import { SystemTimers } from '../src/core/timers.js';
import { HttpPeerClient, PeerServer, type PeerHandlers } from '../src/peers/peerRpc.js';
import { HttpLog } from '../src/transports/httpLog.js';
import { RULES_STREAM } from '../src/router.js';
import { createEdit, RulesSession } from '../src/rules/editor.js';
import { brandId, type VmId } from '../src/types/ids.js';
import type { ProbeMessage } from '../src/types/peers.js';
import {
  applyRules,
  sleep,
  fitLine,
  getMedian,
  getMonotonicMs,
  getResidentMegabytes,
  measureCpuUs,
  round,
  type Bench,
  type Row,
  type Table,
} from './support.js';

const READER_COUNTS = [6, 30, 100, 300];
const EDITS = 5;
const SHARED_KEY = 'a-shared-key-of-a-bench';

/** Measures the propagation of edits to readers in this process, each with its own connections to a log process. */
async function measureEditPropagation(readers: number): Promise<Row> {
  const log = await startProcess({ script: 'dist/standins/main.js', args: ['log'] });
  const url = `http://127.0.0.1:${log.port}`;
  const timers = new SystemTimers();
  const logs = Array.from({ length: readers }, () => new HttpLog({ url }));
  const controllers = logs.map(
    (httpLog) => new RulesController({ log: httpLog, timers, stream: RULES_STREAM }),
  );
  controllers.forEach((controller) => controller.start());
  const editorLog = new HttpLog({ url });
  const session = new RulesSession({ log: editorLog, timers, stream: RULES_STREAM });
  const propagationMs: number[] = [];
  const cpuUs = await measureCpuUs(async () => {
    for (let number = 1; number <= EDITS; number += 1) {
      const head = (await session.getHead())!;
      const after = [...head.lines, `budget b${number} workspace=w # bench`];
      const edit = createEdit({ base: head.version, before: head.lines, after, author: 'bench' });
      const startedAt = getMonotonicMs();
      await session.publish(edit);
      while (!controllers.every((controller) => controller.getVersion() >= number)) {
        await sleep(1);
      }
      propagationMs.push(getMonotonicMs() - startedAt);
    }
  }, 1);
  controllers.forEach((controller) => controller.stop());
  session.close();
  await Promise.all([editorLog, ...logs].map((client) => client.close()));
  log.child.kill('SIGKILL');
  return {
    readers,
    'median ms to the last': round(getMedian(propagationMs)),
    'worst ms': round(Math.max(...propagationMs)),
    'cpu us a reader and edit': round(cpuUs / EDITS / readers),
  };
}

function createProbe(): ProbeMessage {
  return { vm: brandId('router-123'), rulesVersion: brandId(123_456), leaving: [], suspects: [] };
}

/** Measures the processor time of both ends of a probe and its bytes on the wire. */
async function measureProbes(): Promise<Row[]> {
  const handlers = { 'peer.probe': createProbe } as unknown as PeerHandlers;
  const peerServer = new PeerServer(SHARED_KEY, handlers);
  const sockets = new Set<Socket>();
  const server = createServer(async (message, response) => {
    const body = (await readMessageBody(message)).toString();
    const responseBody = await peerServer.handleMessage(
      body,
      String(message.headers['x-shallotrock-signature']),
    );
    response.end(responseBody);
  });
  server.on('connection', (socket: Socket) => sockets.add(socket));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = new HttpPeerClient({
    sharedKey: SHARED_KEY,
    getAddress: () => `127.0.0.1:${port}`,
  });
  const send = async (count: number) => {
    for (let index = 0; index < count; index += 1) {
      await client.call(brandId<VmId>('peer'), 'peer.probe', createProbe());
    }
  };
  await send(500);
  const points: [number, number][] = [];
  for (const count of [500, 1_000, 2_000, 4_000]) {
    points.push([count, await measureCpuUs(() => send(count))]);
  }
  const bytesBefore = [...sockets].reduce(
    (sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten,
    0,
  );
  await send(100);
  const bytesAfter = [...sockets].reduce(
    (sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten,
    0,
  );
  await client.close();
  server.close();
  const fit = fitLine(points);
  return [
    {
      'cpu us a probe, both ends': round(fit.slope),
      r2: round(fit.r2),
      'bytes a probe, both ways': (bytesAfter - bytesBefore) / 100,
    },
  ];
}

async function startSingleRouterFleet(engineArgs: readonly string[]): Promise<Fleet> {
  const settings = { logging: { level: 'error' } };
  const fleet = await startFleet({
    routers: 1,
    engines: 2,
    services: 1,
    engineArgs,
    settings,
    slotsPerEngine: 2_000,
    tokensPerBudget: 1e9,
  });
  await applyRules(fleet);
  await waitUntilReady(fleet.routerUrls[0]!);
  await sleep(1_500);
  return fleet;
}

async function measureIdleConnections(): Promise<Row> {
  const fleet = await startSingleRouterFleet([]);
  const [router] = fleet.routers;
  const sockets: Socket[] = [];
  const points: [number, number][] = [];
  for (const count of [0, 500, 1_000, 2_000, 4_000]) {
    while (sockets.length < count) {
      const socket = connect(router!.port, '127.0.0.1');
      sockets.push(socket);
      await new Promise((resolve) => {
        socket.once('connect', resolve);
      });
    }
    await sleep(500);
    points.push([count, getResidentMegabytes(router!.child.pid!) * 1_024]);
  }
  sockets.forEach((socket) => socket.destroy());
  await fleet.stop();
  return createMemoryRow('an idle connection', points);
}

async function measureLiveStreams(): Promise<Row> {
  const fleet = await startSingleRouterFleet([
    '--token-ms',
    '250',
    '--answer-tokens',
    '400',
    '--slots',
    '2000',
  ]);
  const [router] = fleet.routers;
  const abortController = new AbortController();
  const points: [number, number][] = [];
  let openStreams = 0;
  for (const count of [0, 100, 200, 400, 800]) {
    while (openStreams < count) {
      openStreams += 1;
      fetch(`${fleet.routerUrls[0]}/v1/chat/completions`, {
        method: 'POST',
        signal: abortController.signal,
        headers: { authorization: `Bearer ${sampleKeys.yard}` },
        body: JSON.stringify({
          model: 'quill-small',
          stream: true,
          max_tokens: 400,
          messages: [{ role: 'user', content: `stream ${openStreams}` }],
        }),
      })
        .then((response) => response.text())
        .catch(() => {});
    }
    await sleep(3_000);
    points.push([count, getResidentMegabytes(router!.child.pid!) * 1_024]);
  }
  abortController.abort();
  await fleet.stop();
  return createMemoryRow('a live stream with both its connections', points);
}

function createMemoryRow(what: string, points: readonly (readonly [number, number])[]): Row {
  const fit = fitLine(points);
  return {
    what,
    'KB each': round(fit.slope),
    'MB at none': round(fit.intercept / 1_024),
    r2: round(fit.r2),
    'MB at the most': round(points.at(-1)![1] / 1_024),
    most: points.at(-1)![0],
  };
}

async function run(): Promise<readonly Table[]> {
  const propagationRows: Row[] = [];
  for (const readers of READER_COUNTS) {
    propagationRows.push(await measureEditPropagation(readers));
  }
  return [
    {
      title: 'Spread of an edit over real sockets (reader tasks in one process)',
      rows: propagationRows,
    },
    { title: 'Probes', rows: await measureProbes() },
    {
      title: 'Memory of a router process',
      rows: [await measureIdleConnections(), await measureLiveStreams()],
    },
  ];
}

export const socketsBench: Bench = {
  name: 'sockets',
  question: 'What do an edit, a probe, a connection and a live stream cost on real sockets?',
  run,
};
