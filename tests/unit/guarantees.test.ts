import { test } from 'node:test';
import { expect } from 'earl';
import { auditBudgetStream } from '../../src/audit/auditBudgets.js';
import { Simulation } from '../support/simulation.js';

async function startSimulation(options: ConstructorParameters<typeof Simulation>[0] = {}) {
  const simulation = new Simulation(options);
  await simulation.advance(2_000);
  return simulation;
}

test('a router partitioned from the log receives accepted rules from a peer within 4 s', async () => {
  const simulation = await startSimulation();
  simulation.routers[0]!.log.isPartitioned = true;
  simulation.topUp('more', 5);
  const { version } = simulation.getRules();
  await simulation.advance(4_000);
  expect(simulation.routers[0]!.router.rules.getVersion()).toEqual(version);
});

test('a new router takes the newest rules of its peers during a log outage, but is not ready', async () => {
  const simulation = await startSimulation();
  simulation.routers[1]!.log.isPartitioned = true;
  simulation.network.setPartitioned('router-1', 'router-2', true);
  simulation.network.setPartitioned('router-2', 'router-3', true);
  simulation.topUp('more', 5);
  await simulation.advance(3_000);
  simulation.server.outage = true;
  simulation.kill(2);
  simulation.network.setPartitioned('router-2', 'router-3', false);
  simulation.startRouter(2);
  await simulation.advance(4_000);
  const { rules } = simulation.routers[2]!.router;
  expect(rules.getVersion()).toEqual(simulation.getRules().version);
  expect(simulation.routers[2]!.router.getNotReadyReason()).toEqual(
    'no proven state of the budgets or claims',
  );
  const order = simulation.order(2, 'early');
  await simulation.advance(3_000);
  // The hold precedes the claim, so the refusal comes from the budget.
  expect([order.error?.code, order.error?.ran]).toEqual(['budgetUnavailable', 'not_run']);
});

test('routers that do not know each other keep all guarantees', async () => {
  const simulation = new Simulation({ tokens: 600 });
  simulation.vms.splice(
    0,
    simulation.vms.length,
    ...simulation.vms.filter(({ vm }) => !vm.startsWith('router')),
  );
  await simulation.advance(6_000);
  const orders = [0, 1, 2].map((index) => simulation.order(index, 'same'));
  const chats = [0, 1, 2].map((index) => simulation.chat(index, `c${index}`, 'hello', 20));
  await simulation.advance(10_000);
  expect(orders.some(({ status }) => status === 201)).toEqual(true);
  expect(simulation.endpoints.orders.get('same')).toEqual(1);
  expect(chats.filter((chat) => chat.isComplete())).toHaveLength(3);
  expect(simulation.getOutstandingTokens() <= simulation.funded).toEqual(true);
});

test('a graceful stop returns all unspent tokens', async () => {
  const simulation = await startSimulation();
  simulation.chat(0, 'c1', 'hello', 30);
  await simulation.advance(5_000);
  simulation.routers[0]!.router.budgets.close();
  await simulation.advance(1_000);
  const { projection } = auditBudgetStream(simulation.dump('budgets-0'));
  const [account] = projection.accounts.values();
  const [holder] = account!.holders.values();
  expect(account!.outstanding).toEqual(holder!.spent);
  expect(holder!.spent).toEqual(35);
});

test('a new router refuses requests until a running one has written a checkpoint', async () => {
  const simulation = await startSimulation({ retentionMs: 400_000 });
  const order = simulation.order(0, 'first');
  await simulation.advance(1_000);
  expect(order.status).toEqual(201);
  simulation.server.retentionMs = 1;
  await simulation.advance(1_000);
  simulation.server.retentionMs = 400_000;
  simulation.kill(2);
  simulation.startRouter(2);
  await simulation.advance(2_000);
  const early = simulation.order(2, 'first');
  await simulation.advance(3_000);
  expect(early.error?.ran).toEqual('not_run');
  expect(simulation.routers[2]!.router.getNotReadyReason()).not.toEqual(undefined);
  // A quarter of the retention, a delay of a sixteenth for each of two ranks, and one check interval.
  await simulation.advance(170_000);
  expect(simulation.routers[2]!.router.getNotReadyReason()).toEqual(undefined);
  const late = simulation.order(2, 'first');
  await simulation.advance(3_000);
  expect(late.status).toEqual(201);
  expect(simulation.endpoints.orders.get('first')).toEqual(1);
});

test('an engine that tells one router that it is leaving gets no calls from any router after 5 s', async () => {
  const simulation = await startSimulation();
  simulation.endpoints.setFaults('engine-1', { leaving: true });
  Array.from({ length: 12 }, (_, index) => simulation.chat(0, `a${index}`, `prompt ${index}`, 2));
  await simulation.advance(5_000);
  const calls = simulation.endpoints.calls.get('engine-1');
  expect(calls! > 0).toEqual(true);
  const chats = Array.from({ length: 24 }, (_, index) =>
    simulation.chat(index % 3, `b${index}`, `other ${index}`, 2),
  );
  await simulation.advance(5_000);
  expect(simulation.endpoints.calls.get('engine-1')).toEqual(calls);
  expect(chats.every((chat) => chat.isComplete())).toEqual(true);
});

test('a request that crashes engines crashes at most two, even with new ids and at other routers', async () => {
  const simulation = await startSimulation();
  const innocent = simulation.chat(1, 'innocent', 'innocent', 30);
  const attempts = [0, 1, 2, 0, 1].map((router, index) => {
    simulation.timers.subscribe(index * 1_500, () => {
      simulation.chat(router, `bad-${index}`, 'crash it', 2);
    });
    return router;
  });
  await simulation.advance(attempts.length * 1_500 + 8_000);
  const crashCount = [...simulation.endpoints.crashes.values()].reduce(
    (sum, count) => sum + count,
    0,
  );
  expect(crashCount <= 2).toEqual(true);
  expect(innocent.isComplete()).toEqual(true);
});

test('a billed request is rerun without charge at most three times', async () => {
  const simulation = await startSimulation();
  const codes: (string | undefined)[] = [];
  for (let run = 0; run < 5; run += 1) {
    const chat = simulation.chat(0, 'same', 'hello', 5);
    await simulation.advance(2_000);
    codes.push(chat.error?.code);
  }
  expect(codes).toEqual([undefined, undefined, undefined, undefined, 'repeatedTooOften']);
  const [allotment] = simulation.routers[0]!.router.budgets.shards[0]!.getAllotments().values();
  expect(allotment!.spent).toEqual(10);
  expect(simulation.audit().bills).toEqual(1);
});

// Failure: a late copy of an answer counted as the answer to a later request of the same id, also of another workspace.
test('endpoints never see an id twice when callers repeat theirs', async () => {
  const simulation = await startSimulation();
  for (let repeat = 0; repeat < 3; repeat += 1) {
    simulation.chat(0, 'same', 'hello', 5);
    await simulation.advance(2_000);
  }
  const { callIds } = simulation.endpoints;
  expect(callIds.length).toEqual(3);
  expect(new Set(callIds).size).toEqual(callIds.length);
});
