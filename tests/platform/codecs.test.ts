import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { decodeEndpointEntry } from '../../platform/endpointEntry.js';
import { decodeGatewayConfig } from '../../platform/gatewayConfig.js';
import { PlatformHeaders } from '../../platform/headerCodec.js';
import { decodePage, encodeKeyedRecord } from '../../platform/recordCodec.js';
import { decodeSettings } from '../../platform/settings.js';
import { getSha256 } from '../../src/core/utilities.js';
import type { CallMetadata } from '../../src/types/gateway.js';

const codec = new PlatformHeaders();

function createPage(end: number, first: number, records: readonly Buffer[]): Buffer {
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(end), 0);
  head.writeBigUInt64BE(BigInt(first), 8);
  return Buffer.concat([head, ...records]);
}

test('decoded records have the encoded keys and consecutive offsets', () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.tuple(
          fc.string({ minLength: 1, maxLength: 40 }),
          fc.uint8Array({ minLength: 1, maxLength: 50 }),
        ),
      ),
      (pairs) => {
        const bytes = createPage(
          7,
          0,
          pairs.map(([key, value]) => encodeKeyedRecord(key, value)),
        );
        const { records } = decodePage(bytes, 100);
        expect(
          records.map((item) => item.kind === 'record' && [item.record.key, item.record.offset]),
        ).toEqual(pairs.map(([key], index) => [key, (100 + index) as never]));
      },
    ),
    { seed: 3, numRuns: 200 },
  );
});

test('a record without a key does not invalidate the records after it', () => {
  const bytes = createPage(2, 0, [
    Buffer.from([0, 0, 0, 1, 9]),
    encodeKeyedRecord('a', Buffer.from('b')),
  ]);
  expect(decodePage(bytes, 0).records.map(({ kind }) => kind)).toEqual(['malformed', 'record']);
});

test('an error for invalid framing names the byte position', () => {
  const page = createPage(1, 0, [encodeKeyedRecord('a', Buffer.from('bcd'))]);
  expect(() => decodePage(page.subarray(0, page.length - 1), 0)).toThrow('record at byte 16');
  expect(() => decodePage(page.subarray(0, 9), 0)).toThrow('16 bytes of offsets');
  expect(() => encodeKeyedRecord('', Buffer.alloc(0))).toThrow('key');
});

const callHeaders = [
  'Host',
  'Yard.example:80',
  'Shallotrock-Attempt-Id',
  'a1',
  'Shallotrock-Credential',
  'key',
  'Shallotrock-Token-Usage',
  '1460,80',
  'Shallotrock-Prompt-Prefix',
  '5c:800,91:410,e4:250',
  'Shallotrock-Deadline-Ms',
  '3000',
  'Shallotrock-Tenant',
  'forged',
  'Shallotrock-Kv-Hold',
  'forged',
  'Kv-From',
  'forged',
  'Connection',
  'keep-alive, X-Hop',
  'X-Hop',
  '1',
  'X-Other',
  'kept',
  'Content-Length',
  '3',
];

function readCall(): CallMetadata {
  const metadata = codec.readCall(callHeaders);
  if ('field' in metadata) {
    throw new Error(metadata.detail);
  }
  return metadata;
}

test('call headers are parsed, and the credential is returned only as a hash', () => {
  const { forwardedHeaders, ...metadata } = readCall();
  expect(metadata).toEqual({
    id: 'a1',
    host: 'yard.example',
    keyHash: getSha256('key'),
    timeoutMs: 3_000,
    tokens: { prompt: 1_460, maxOutput: 80 },
    promptParts: [
      { id: '5c', tokens: 800 },
      { id: '91', tokens: 410 },
      { id: 'e4', tokens: 250 },
    ],
    expectedOutputTokens: undefined,
    lastEventId: undefined,
    resumedCallId: undefined,
    hasBody: true,
  });
  expect(forwardedHeaders.filter((_, index) => index % 2 === 0)).toEqual([
    'Host',
    'Shallotrock-Attempt-Id',
    'Shallotrock-Token-Usage',
    'Shallotrock-Prompt-Prefix',
    'X-Other',
  ]);
});

test('reserved headers come from the gateway, whatever the caller sent in them', () => {
  const sent = codec.createEndpointHeaders(readCall(), {
    endpoint: 'e1' as never,
    workspace: 'w' as never,
    timeoutMs: 2_500.7,
    urgency: 2,
    lastEventId: undefined,
    bodyBytes: 3,
  });
  expect(sent.join('|')).toInclude('shallotrock-tenant|w|');
  expect(sent.join('|')).toInclude('shallotrock-expect-instance|e1|shallotrock-deadline-ms|2500');
  expect(sent.includes('forged')).toEqual(false);
});

test('an error for a missing or repeated call id or malformed token counts names the field', () => {
  const without = codec.readCall(['Host', 'x']);
  expect('field' in without && without.field).toEqual('shallotrock-attempt-id');
  const twice = codec.readCall([...callHeaders, 'shallotrock-attempt-id', 'b']);
  expect('field' in twice && twice.detail).toEqual('the header is repeated');
  const tokens = codec.readCall(['Shallotrock-Attempt-Id', 'a', 'Shallotrock-Token-Usage', '12']);
  expect('field' in tokens && tokens.field).toEqual('shallotrock-token-usage');
});

const readTokens = (tokens: string) =>
  codec.readCall(['Shallotrock-Attempt-Id', 'a', 'Shallotrock-Token-Usage', tokens]);

// Failure: the needs of five such calls add up to a number that no account record can hold.
[
  '1000000001,0',
  '0,1000000001',
  '999999999999999,999999999999999',
  '1e9,1',
  '-1,1',
  '1.5,1',
].forEach((tokens) => {
  test(`a call that declares ${tokens} tokens is refused, and the error names the maximum`, () => {
    const read = readTokens(tokens);
    expect('field' in read && read.field).toEqual('shallotrock-token-usage');
    expect('detail' in read ? read.detail : '').toInclude('whole numbers from 0 to 1000000000');
  });
});

test('a call may declare the maximum of prompt and output tokens', () => {
  const read = readTokens('1000000000,1000000000');
  expect('tokens' in read && read.tokens).toEqual({ prompt: 1e9, maxOutput: 1e9 });
});

test('response headers determine whether a response is crossed, not run or genuine', () => {
  const read = (status: number, ...raw: string[]) => codec.readResponse('a1', status, raw);
  expect(read(200, 'Shallotrock-Attempt-Id', 'b2').isCrossed).toEqual(true);
  expect(read(200, 'Shallotrock-Attempt-Id', 'a1').isCrossed).toEqual(false);
  const bothIds = ['Shallotrock-Attempt-Id', 'a1', 'Shallotrock-Attempt-Id', 'b2'];
  expect(read(200, ...bothIds).isCrossed).toEqual(true);
  expect(read(503, 'Shallotrock-Attempt-Id', '').isCrossed).toEqual(true);
  expect([read(503).hasCallId, read(503).isCrossed]).toEqual([false, false]);
  expect(read(503, 'Shallotrock-Attempt-Id', 'a1').hasCallId).toEqual(true);
  expect(read(503, 'Shallotrock-Not-Executed', '1').isNotRun).toEqual(true);
  expect(read(503).isNotRun).toEqual(false);
  expect(read(421).isWrongEndpoint).toEqual(true);
  const echo = ['Shallotrock-Attempt-Id', 'a1'];
  const seal = ['Shallotrock-Instance-Seal', 's'];
  expect(read(200, ...echo, ...seal).isGenuine).toEqual(true);
  expect(read(200, ...seal).isGenuine).toEqual(false);
  expect(read(200, ...echo, ...seal, 'Content-Encoding', 'gzip').isGenuine).toEqual(false);
});

const config = {
  version: 7,
  routes: [
    {
      name: 'r',
      hostname: 'Yard.example',
      pathPrefix: '/a/',
      type: 'streaming',
      timeoutMs: 12_000,
      service: 's',
      attempts: 2,
      resumable: true,
      newField: 1,
    },
    { name: 'q', hostname: 'y', pathPrefix: '/b/', type: 'unknown', timeoutMs: 1, service: 's' },
  ],
  services: [{ name: 's', maxConns: 9, backendType: { slots: 64, stride: 7 } }],
  tenants: [{ name: 'w', apiKeys: ['key'], prepaid: 100 }],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 },
};

test('a configuration is decoded; calls of an unknown route type are not retried', () => {
  const decoded = decodeGatewayConfig(Buffer.from(JSON.stringify(config))).unwrap();
  expect(decoded.routes.map(({ repeatability, host }) => [repeatability, host])).toEqual([
    ['resumable', 'yard.example'],
    ['once', 'y'],
  ]);
  expect(decoded.workspaces?.[0]?.keyHashes).toEqual([getSha256('key')]);
  expect(decoded.services[0]?.engine?.tokensPerEvent).toEqual(7);
});

test('an error for a malformed configuration names the field', () => {
  const broken = { ...config, limits: { ...config.limits, maxBodyBytes: 'x' } };
  const result = decodeGatewayConfig(Buffer.from(JSON.stringify(broken)));
  expect(String(result.val)).toInclude('limits.maxBodyBytes');
});

// Failure: no account record can hold such a total or version, so what was spent is forgotten at the next start.
test('prepaid totals are whole numbers that account records can hold, and others are reported', () => {
  const decode = (prepaid: number) =>
    decodeGatewayConfig(
      Buffer.from(JSON.stringify({ ...config, tenants: [{ name: 'w', prepaid }] })),
    ).unwrap();
  const totals = [0, 100, 1_000.5, -3, 1e300].map((prepaid) => {
    const { workspaces, problems } = decode(prepaid);
    return [workspaces?.[0]?.prepaidTokens, problems?.length];
  });
  expect(totals).toEqual([
    [0, 0],
    [100, 0],
    [1_000, 1],
    [0, 1],
    [Number.MAX_SAFE_INTEGER, 1],
  ]);
  const fractional = decodeGatewayConfig(Buffer.from(JSON.stringify({ ...config, version: 1.5 })));
  expect(String(fractional.val)).toInclude('version');
});

test('a malformed endpoint entry is an error', () => {
  const entry = {
    service: 's',
    address: '10.0.0.1:80',
    zone: 'z',
    version: 'v1',
    slots: 4,
    state: 'ready',
    seq: 1,
  };
  const decode = (value: unknown) => decodeEndpointEntry('e', Buffer.from(JSON.stringify(value)));
  expect(decode({ ...entry, born: 17 }).unwrap().startedAtMs).toEqual(17);
  [{ ...entry, state: 'gone' }, { ...entry, slots: '4' }, { ...entry, address: 5 }, null].forEach(
    (value) => expect(decode(value).err).toEqual(true),
  );
  expect(decodeEndpointEntry('e', Buffer.from([0xff, 0xfe])).err).toEqual(true);
});

const settings = `
nodeName = "n"
zone = "z"
ip = "10.1.0.40"
seeds = ["10.1.0.41:8229"]
[listen]
frontend = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
controlPlane = "10.1.0.40:8229"
[bounds]
graceS = 8
retryRatio = 0.2
retryBurst = 52
retryWindowS = 10
[platform]
address = "10.200.1.7:8223"
`;

test('settings are decoded, and an error names the field', () => {
  const decoded = decodeSettings(settings).unwrap();
  expect(decoded.callerAddress).toEqual({ host: '10.1.0.40', port: 8_227 });
  expect(decoded.graceMs).toEqual(8_000);
  const wrong = decodeSettings(settings.replace('"10.1.0.40:8220"', '8220'));
  expect(String(wrong.val)).toInclude('listen.readiness');
  const syntax = decodeSettings('a = [');
  expect(syntax.err).toEqual(true);
});

const NUMBER_LIMITS: readonly (readonly [value: string, perSecond: number])[] = [
  ['4.6', 4.6],
  [' 3 ', 3],
  ['0', 0],
  ['0.25', 0.25],
  ['999999999999999', 999_999_999_999_999],
];

test('a limit of an endpoint is a decimal number of calls a second', () => {
  NUMBER_LIMITS.forEach(([value, perSecond]) => {
    const { limit } = codec.readResponse('c', 200, ['Server-Limit', value]);
    expect(limit).toEqual({ kind: 'named', perSecond });
  });
  expect(codec.readResponse('c', 200, []).limit).toEqual({ kind: 'none' });
  expect(codec.readResponse('c', 200, ['Server-Limit', '3', 'server-limit', '3']).limit).toEqual({
    kind: 'named',
    perSecond: 3,
  });
});

['', '-1', 'none', 'NaN', 'Infinity', '1e30', '1,5', '0x10', '3;q=1', '1'.repeat(400)].forEach(
  (value) =>
    test(`a limit of '${value.slice(0, 20)}' is malformed`, () => {
      const { limit, malformed } = codec.readResponse('c', 200, ['Server-Limit', value]);
      expect(limit).toEqual({ kind: 'malformed' });
      expect(malformed).toEqual(['server-limit']);
    }),
);

test('two limits that contradict each other are malformed', () => {
  const headers = ['Server-Limit', '3', 'Server-Limit', '5'];
  expect(codec.readResponse('c', 200, headers).limit).toEqual({ kind: 'malformed' });
});

test('the software version of an entry is a text or a number; an entry without one names no endpoint', () => {
  const decode = (version: string) =>
    decodeEndpointEntry(
      'e',
      Buffer.from(
        `{"service":"s","address":"127.0.0.1:1","zone":"z","slots":1,"state":"ready","seq":1${version}}`,
      ),
    );
  const versions = [',"version":"3.1"', ',"version":3', ',"version":""'];
  const decoded = versions.map((version) => decode(version).unwrap().softwareVersion as string);
  expect(decoded).toEqual(['3.1', '3', '']);
  const odd = ['', ',"version":null', ',"version":{}', `,"version":"${'x'.repeat(129)}"`];
  odd.forEach((version) => expect(String(decode(version).val)).toInclude('version'));
});

test('a call names the call whose stream it takes up at most once', () => {
  const read = (...headers: string[]) =>
    codec.readCall(['Host', 'h', 'Shallotrock-Attempt-Id', 'b', ...headers]);
  const taken = read('Last-Event-Id', '7', 'Resumes', 'a') as CallMetadata;
  expect([taken.lastEventId, taken.resumedCallId]).toEqual(['7', 'a']);
  const empty = read('Last-Event-Id', '', 'Resumes', '') as CallMetadata;
  expect([empty.lastEventId, empty.resumedCallId]).toEqual([undefined, undefined]);
  expect(read('Resumes', 'a', 'Resumes', 'a')).toEqual({
    field: 'resumes',
    detail: 'the header is repeated',
  });
});
