/** Parses and validates the settings file, which is TOML. */
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
    /** Name of this process's vm in the platform's vm list. */
    vm: z.string().min(1),
    availabilityZone: z.string().min(1),
    /** Address for callers, peers and operators. Port 0 selects a free port. */
    listen: address.default('127.0.0.1:8080'),
  }),
  log: z.strictObject({
    url,
    requestTimeoutMs: ms(2_000),
    /** Long-poll time of one read. */
    pollMs: ms(10_000),
    /** Minimum time between two appends to a stream. */
    flushIntervalMs: ms(20),
    /** Retention period of the log. Checkpoints are written four times per period. */
    retentionMs: ms(3_600_000),
  }),
  vms: z.strictObject({ url, pollMs: ms(2_000), requestTimeoutMs: ms(2_000) }),
  peers: z.strictObject({
    /** Key that signs messages between routers; must be the same on all of them. */
    sharedKey: z.string().min(16, 'expected at least 16 characters'),
    /** Pattern of the names of router vms; `*` matches any text. */
    vmPattern: z.string().min(1).default('router-*'),
    probeIntervalMs: ms(1_000),
    probeTimeoutMs: ms(500),
    /** Number of peers probed per interval. */
    probeCount: count(3),
  }),
  budgets: section({
    shards: count(1),
    /** Number of routers in each availability zone that read a shard's stream; 0 for all. */
    homesPerZone: z.int().min(0).max(1_000).default(0),
    /** Maximum time that a request waits for tokens that other routers may return. */
    holdWaitMs: ms(2_000),
    reportIntervalMs: ms(10_000),
    /** Idle time after which all free tokens of an allotment are returned. */
    idleReturnMs: ms(600_000),
  }),
  claims: section({
    waitMs: ms(1_500),
    comeBackMs: ms(2_000),
    /** Maximum size of a response that is stored for duplicate requests. */
    keptBytes: bytes(65_536),
  }),
  billing: section({
    /** Whether the bill is stored before or after the last chunk of the response is sent. */
    mode: z.enum(['before', 'after']).default('before'),
    /** Maximum time that the last chunk waits until the bill is stored. */
    waitMs: ms(500),
  }),
  limits: section({
    bodyBytes: bytes(1_048_576),
    headerBytes: bytes(16_384),
    bodyTimeoutMs: ms(10_000),
    /** Deadline of a request that specifies none. */
    deadlineMs: ms(30_000),
    /** Maximum deadline that a request may specify. */
    deadlineMaxMs: ms(600_000),
    defaultMaxTokens: count(1_024),
    queueLength: count(512),
    /** Memory of the machine, in MB. */
    memoryMb: count(512),
    /** File descriptors of the process. */
    maxFds: count(4_096),
  }),
  endpoints: section({
    connectTimeoutMs: ms(1_000),
    /** Maximum wait for the first byte of a response. */
    firstByteMs: ms(15_000),
    /** Maximum time without data within a response. */
    idleMs: ms(5_000),
    /** Maximum retries, as a percentage of successful calls. */
    retryPercent: z.int().min(0).max(100).default(10),
  }),
  shutdown: section({
    drainMs: ms(60_000),
    /** Maximum wait, after the last request, until the log has stored pending entries; it may never respond again. */
    flushMs: ms(3_000),
  }),
  tls: z.strictObject({ certFile: z.string().min(1), keyFile: z.string().min(1) }).optional(),
  logging: section({
    level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
    format: z.enum(['json', 'pretty']).default('json'),
  }),
});

/** Validated settings of a router, with defaults applied. */
export type Settings = z.output<typeof settingsSchema>;

/** An error in a settings file. */
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
 * Parses and validates the text of a settings file.
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

/** Reads, parses and validates a settings file. */
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
