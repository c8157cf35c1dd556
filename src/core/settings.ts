/** The settings file: TOML, checked field by field, with a default and a unit for each. */
import { readFileSync } from 'node:fs';
import { parse, TomlError } from 'smol-toml';
import { Err, Ok, type Result } from './results.js';
import * as z from 'zod';
import { getErrorMessage } from './utilities.js';

const ms = (value: number) => z.int().min(1).max(86_400_000).default(value);
const bytes = (value: number) => z.int().min(1).max(1_073_741_824).default(value);
const count = (value: number) => z.int().min(1).max(1_000_000).default(value);
const url = z.url({ protocol: /^https?$/, error: 'expected an http or https URL' });
const address = z.string().regex(/^[\w.:[\]-]+:\d{1,5}$/, 'expected HOST:PORT');
const section = <Shape extends z.ZodRawShape>(shape: Shape) =>
  z.strictObject(shape).prefault({} as never);

const settingsSchema = z.strictObject({
  router: z.strictObject({
    /** The vm that this process runs on, as the platform lists it. */
    vm: z.string().min(1),
    availabilityZone: z.string().min(1),
    /** Where callers, peers and operators connect. Port 0 takes a free one. */
    listen: address.default('127.0.0.1:8080'),
  }),
  log: z.strictObject({
    url,
    requestTimeoutMs: ms(2_000),
    /** How long one read waits for new records. */
    pollMs: ms(10_000),
    /** Least time between two appends to one stream. */
    flushIntervalMs: ms(20),
    /** How long the log keeps records; checkpoints are written four times as often. */
    retentionMs: ms(3_600_000),
  }),
  vms: z.strictObject({ url, pollMs: ms(2_000), requestTimeoutMs: ms(2_000) }),
  peers: z.strictObject({
    /** Signs what routers send each other; the same on every router. */
    sharedKey: z.string().min(16, 'expected at least 16 characters'),
    /** Which vms of the list are routers; `*` matches any text. */
    vmPattern: z.string().min(1).default('router-*'),
    probeIntervalMs: ms(1_000),
    probeTimeoutMs: ms(500),
    /** How many peers are probed in each interval. */
    probeCount: count(3),
  }),
  budgets: section({
    shards: count(1),
    /** Routers of each availability zone that follow a shard's stream; 0 for all of them. */
    homesPerZone: z.int().min(0).max(1_000).default(0),
    /** How long a request waits for tokens that others may return. */
    holdWaitMs: ms(2_000),
    reportIntervalMs: ms(10_000),
    /** An allotment unused for so long is returned whole. */
    idleReturnMs: ms(600_000),
  }),
  claims: section({
    waitMs: ms(1_500),
    comeBackMs: ms(2_000),
    /** Largest answer kept for repeats. */
    keptBytes: bytes(65_536),
  }),
  billing: section({
    /** Whether the bill is stored before or after the last chunk is released. */
    mode: z.enum(['before', 'after']).default('before'),
    /** How long the last chunk waits for the bill. */
    waitMs: ms(500),
  }),
  limits: section({
    bodyBytes: bytes(1_048_576),
    headerBytes: bytes(16_384),
    bodyTimeoutMs: ms(10_000),
    /** The deadline of a request that states none. */
    deadlineMs: ms(30_000),
    /** The latest deadline that a request may state. */
    deadlineMaxMs: ms(600_000),
    defaultMaxTokens: count(1_024),
    queueLength: count(512),
  }),
  endpoints: section({
    connectTimeoutMs: ms(1_000),
    /** Longest wait for the first byte of an answer. */
    firstByteMs: ms(15_000),
    /** Longest silence inside an answer. */
    idleMs: ms(5_000),
    /** Retries as a share of successes, in percent. */
    retryPercent: z.int().min(0).max(100).default(10),
  }),
  shutdown: section({
    drainMs: ms(60_000),
    /** Longest wait for the log to take what is left, after the last request; it may be gone for good. */
    flushMs: ms(3_000),
  }),
  tls: z.strictObject({ certFile: z.string().min(1), keyFile: z.string().min(1) }).optional(),
  logging: section({
    level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
    format: z.enum(['json', 'pretty']).default('json'),
  }),
});

/** Checked settings of a router, defaults filled in. */
export type Settings = z.output<typeof settingsSchema>;

/** One thing wrong with a settings file. */
export interface SettingsProblem {
  readonly code: number;
  readonly file: string;
  /** The key, such as `limits.bodyBytes`, or the line for a syntax error. */
  readonly at: string;
  readonly message: string;
}

const SYNTAX_CODE = 7001;
const VALUE_CODE = 7002;
const READ_CODE = 7003;

/**
 * Parses and checks the text of a settings file.
 *
 * @example
 * const settings = parseSettings('router.toml', text);
 * if (settings.err) settings.val.map(formatSettingsProblem).forEach(print);
 */
export function parseSettings(
  file: string,
  text: string,
): Result<Settings, readonly SettingsProblem[]> {
  const document = tryParseToml(file, text);
  if (document.err) {
    return Err([document.val]);
  }
  const parsed = settingsSchema.safeParse(document.val);
  if (parsed.success) {
    return Ok(parsed.data);
  }
  return Err(parsed.error.issues.flatMap((issue) => createProblems(file, issue)));
}

/** Reads, parses and checks a settings file. */
export function readSettings(file: string): Result<Settings, readonly SettingsProblem[]> {
  try {
    return parseSettings(file, readFileSync(file, 'utf8'));
  } catch (error) {
    return Err([{ code: READ_CODE, file, at: '', message: getErrorMessage(error) }]);
  }
}

/** Formats a problem as `FILE: KEY: error CODE: MESSAGE`. */
export function formatSettingsProblem({ code, file, at, message }: SettingsProblem): string {
  return `${file}: ${at ? `${at}: ` : ''}error ${code}: ${message}`;
}

function tryParseToml(file: string, text: string): Result<unknown, SettingsProblem> {
  try {
    return Ok(parse(text));
  } catch (error) {
    const at = error instanceof TomlError ? `line ${error.line}` : '';
    const [message] = getErrorMessage(error).split('\n');
    return Err({ code: SYNTAX_CODE, file, at, message: message! });
  }
}

function createProblems(file: string, issue: z.core.$ZodIssue): SettingsProblem[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      code: VALUE_CODE,
      file,
      at: [...path, key].join('.'),
      message: 'unknown key',
    }));
  }
  return [{ code: VALUE_CODE, file, at: path.join('.'), message: issue.message }];
}
