/** Failure: one odd value about warm-up or evacuation ends a process, or makes it ignore the rest of the input. */
import { test } from 'node:test';
import { expect } from 'earl';
import { decodeEndpointEntry } from '../../platform/endpointEntry.js';
import { decodeGatewayConfig } from '../../platform/gatewayConfig.js';
import { PlatformHeaders } from '../../platform/headerCodec.js';
import { decodeSettings } from '../../platform/settings.js';

const ODD_JSON = ['-1', '1e308', '1e400', '"3"', 'null', 'true', '[]', '{"a":1}', '"x"'];

const limits = { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 };
const decodeService = (fields: string) => {
  const service = `{"name":"s"${fields}}`;
  const rest = JSON.stringify({ version: 1, routes: [], limits }).slice(1);
  return decodeGatewayConfig(Buffer.from(`{"services":[${service}],${rest}`)).unwrap();
};

test('a service has the warm-up limit of the configuration, and none if the rate is 0 or absent', () => {
  const { services, problems } = decodeService(',"warmupS":3.0,"warmupPerS":14');
  expect(services[0]!.warmup).toEqual({ perSecond: 14, durationMs: 3_000 });
  expect(problems).toEqual([]);
  ['', ',"warmupS":3', ',"warmupPerS":0'].forEach((fields) => {
    const decoded = decodeService(fields);
    expect([decoded.services[0]!.warmup, decoded.problems]).toEqual([undefined, []]);
  });
});

ODD_JSON.forEach((json) =>
  test(`a configuration and an entry with ${json} are used without it, with a reason`, () => {
    const odd = decodeService(`,"warmupS":${json},"warmupPerS":${json}`);
    expect(odd.services[0]!.warmup).toEqual(undefined);
    expect(odd.problems?.length).toEqual(2);
    const part = decodeService(`,"warmupS":${json},"warmupPerS":5`);
    expect(part.services[0]!.warmup).toEqual({ perSecond: 5, durationMs: 0 });
    const text = `{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready","seq":1,"warmupLeftMs":${json}}`;
    const { warmupMs, problems = [] } = decodeEndpointEntry('e', Buffer.from(text)).unwrap();
    expect(warmupMs).toEqual(undefined);
    expect(problems.join()).toInclude('warmupLeftMs');
  }),
);

const settings = (bounds: string) => `
nodeName = "n"
zone = "z"
ip = "10.1.0.40"
[listen]
frontend = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
controlPlane = "10.1.0.40:8229"
[bounds]
graceS = 8
retryRatio = 0.2
retryBurst = 52
retryWindowS = 10
${bounds}
[platform]
address = "10.200.1.7:8223"
`;

test('the bounds of warm-up and evacuation are read, and odd ones are reported and count as absent', () => {
  const sound = decodeSettings(
    settings('warmupOverage = 2\nwarmupBurst = 0\nevacuateMs = 4000.5'),
  ).unwrap();
  expect([sound.warmupOverage, sound.warmupBurst, sound.evacuationMs]).toEqual([2, 0, 4_000.5]);
  expect(sound.problems).toEqual([]);
  const absent = decodeSettings(settings('')).unwrap();
  expect([absent.warmupOverage, absent.problems]).toEqual([undefined, []]);
  ['-1', 'nan', 'inf', '1e300', '"3"', '[]', 'true', '2026-01-01'].forEach((value) => {
    const odd = decodeSettings(
      settings(`warmupOverage = ${value}\nwarmupBurst = ${value}\nevacuateMs = ${value}`),
    ).unwrap();
    expect([odd.warmupOverage, odd.warmupBurst, odd.evacuationMs]).toEqual(
      Array(3).fill(undefined),
    );
    expect(odd.problems?.length).toEqual(3);
  });
});

test('a response states the remaining warm-up, and an odd value is malformed', () => {
  const read = (value: string) =>
    new PlatformHeaders().readResponse('c', 200, ['Shallotrock-Warmup-Ms', value]);
  expect(['0', '1500', ' 2.5 '].map((value) => read(value).warmupMs)).toEqual([0, 1_500, 2.5]);
  ['', '-1', 'NaN', '1e3', '999999999999', '1,2', '1'.repeat(400)].forEach((value) => {
    const { warmupMs, malformed } = read(value);
    expect([warmupMs, malformed]).toEqual([undefined, ['shallotrock-warmup-ms']]);
  });
});
