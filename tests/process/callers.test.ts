import { after, before, test } from 'node:test';
import { expect } from 'earl';
import OpenAI from 'openai';
import { sampleKeys, type Fleet } from '../../launch/fleet.js';
import {
  runAudit,
  getHeaders,
  sendOrder,
  startReadyFleet,
  waitFor,
  type ErrorResponse,
} from '../support/fleetCalls.js';

const CHAT = { model: 'quill-small', messages: [{ role: 'user', content: 'hello' }] };

let fleet: Fleet;
let url: string;

before(async () => {
  fleet = await startReadyFleet({ settings: { limits: { bodyBytes: 5_000 } } });
  [url] = fleet.routerUrls as [string];
});
after(() => fleet.stop());

interface InvalidCall {
  readonly name: string;
  readonly path?: string;
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly status: number;
  readonly code: string;
}

const invalidCalls: InvalidCall[] = [
  {
    name: 'a bad key',
    headers: { authorization: 'Bearer wrong' },
    status: 401,
    code: 'invalidKey',
  },
  { name: 'no key', headers: { authorization: '' }, status: 401, code: 'invalidKey' },
  { name: 'bad JSON', body: '{"model":', status: 400, code: 'invalidJson' },
  { name: 'a missing field', body: '{"model":"quill-small"}', status: 400, code: 'invalidRequest' },
  {
    name: 'an unknown model',
    body: JSON.stringify({ ...CHAT, model: 'none' }),
    status: 404,
    code: 'unknownModel',
  },
  { name: 'a body over the limit', body: 'x'.repeat(6_000), status: 413, code: 'bodyTooLarge' },
  { name: 'an unknown service', path: '/services/none/x', status: 404, code: 'unknownService' },
  { name: 'an unknown path', path: '/v2/none', status: 404, code: 'unknownRoute' },
  {
    name: 'a bad deadline',
    headers: { 'x-request-deadline-ms': 'soon' },
    status: 400,
    code: 'invalidHeader',
  },
];

invalidCalls.forEach(({ name, path = '/v1/chat/completions', headers, body, status, code }) => {
  test(`${name} is refused with its own code and is not run`, async () => {
    const response = await fetch(`${url}${path}`, {
      method: 'POST',
      headers: getHeaders(headers),
      body: body ?? JSON.stringify(CHAT),
    });
    const errorBody = (await response.json()) as ErrorResponse;
    expect(response.status).toEqual(status);
    expect(errorBody.error.code).toEqual(code);
    expect(errorBody.error.ran).toEqual('not_run');
  });
});

test('the OpenAI client streams a chat through a router', async () => {
  const client = new OpenAI({ baseURL: `${url}/v1`, apiKey: sampleKeys.yard });
  const stream = await client.chat.completions.create({
    model: 'quill-small',
    messages: [{ role: 'user', content: 'a quote' }],
    stream: true,
    stream_options: { include_usage: true },
  });
  let text = '';
  let total = 0;
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? '';
    total = chunk.usage?.total_tokens ?? total;
  }
  expect(text.trim().split(' ')).toHaveLength(12);
  expect(total).toBeGreaterThan(12);
});

test('the OpenAI client gets a non-streamed response and the list of models', async () => {
  const client = new OpenAI({ baseURL: `${url}/v1`, apiKey: sampleKeys.yard });
  const completion = await client.chat.completions.create({
    model: 'quill-large',
    messages: [{ role: 'user', content: 'a quote' }],
  });
  expect(completion.choices[0]?.message.content?.length ?? 0).toBeGreaterThan(10);
  const models = await client.models.list();
  expect(models.data.map(({ id }) => id)).toEqual(['quill-small', 'quill-large']);
});

test('an idempotency key reused with another body is refused', async () => {
  const first = await sendOrder(url, 'reused');
  expect(first.status).toEqual(201);
  const second = await fetch(`${fleet.routerUrls[1]}/services/orders/orders`, {
    method: 'POST',
    headers: getHeaders({ 'idempotency-key': 'reused' }),
    body: '{"item":"another"}',
  });
  expect(second.status).toEqual(422);
  expect(((await second.json()) as ErrorResponse).error.code).toEqual('keyReused');
});

test('an order repeated at another router gets the stored response', async () => {
  const first = await sendOrder(url, 'again');
  const firstBody = await first.text();
  // The other router returns 409 (outcome unknown) until it has caught up with the log.
  let second = await sendOrder(fleet.routerUrls[2]!, 'again');
  await waitFor(async () => {
    second = second.status === 409 ? await sendOrder(fleet.routerUrls[2]!, 'again') : second;
    return second.status !== 409;
  });
  expect(await second.text()).toEqual(firstBody);
  expect(second.headers.get('x-replayed')).toEqual('yes');
});

test('metrics count refusals by reason', async () => {
  const text = await (await fetch(`${url}/metrics`)).text();
  expect(text).toInclude('shallotrock_refusals_total{reason="invalidKey"} 2');
});

test('a peer message with an invalid signature is refused', async () => {
  const response = await fetch(`${url}/internal/rpc`, {
    method: 'POST',
    headers: { 'x-shallotrock-signature': 'f'.repeat(64) },
    body: '{"jsonrpc":"2.0","id":1,"method":"budget.transfer","params":{"transfer":"t","budget":"yard-quotes","tokens":5}}',
  });
  expect(response.status).toEqual(403);
});

test('the audit after these calls has no findings', async () => {
  const result = await runAudit(fleet);
  expect(result.out).toInclude('held');
  expect(result.code).toEqual(0);
});
