import { test } from 'node:test';
import { expect } from 'earl';
import { getExpectedWords } from '../support/fakeEndpoints.js';
import { Simulation } from '../support/simulation.js';

test('a chat and an order run through a router on virtual time', async () => {
  const simulation = new Simulation();
  await simulation.advance(2_000);
  const chat = simulation.chat(0, 'c1', 'hello', 10);
  const order = simulation.order(1, 'o1');
  await simulation.advance(2_000);
  expect(chat.error).toEqual(undefined);
  expect(chat.getWords()).toEqual(getExpectedWords('hello', 10));
  expect(chat.isComplete()).toEqual(true);
  expect(order.status).toEqual(201);
  expect(simulation.audit().findings).toEqual([]);
  expect(simulation.audit().bills).toEqual(2);
});
