/** Structured logging. */
import winston from 'winston';

/** The logger of a process. */
export type Logger = winston.Logger;

/** Options of a logger. */
export interface LoggerOptions {
  /** Default `info`. */
  readonly level?: string;
  /** One JSON object per line, or human-readable text. Default `json`. */
  readonly format?: 'json' | 'pretty';
  /** Fields added to every line, such as the vm. */
  readonly fields?: Readonly<Record<string, string>>;
}

/**
 * Creates a logger that writes to standard error.
 *
 * @example
 * createLogger({ fields: { vm: 'router-1' } }).info('ready', { port: 8080 });
 */
export function createLogger(options: LoggerOptions = {}): Logger {
  ignoreOutputErrors();
  const { level = 'info', format = 'json', fields = {} } = options;
  const { combine, timestamp, json, simple } = winston.format;
  return winston.createLogger({
    level,
    defaultMeta: fields,
    format: combine(timestamp(), format === 'json' ? json() : simple()),
    transports: [
      new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] }),
    ],
  });
}

/** Lets a process go on without a log when the reader of its output has left: the error can't be logged. */
function ignoreOutputErrors(): void {
  if (!process.stderr.listeners('error').includes(ignoreError)) {
    process.stderr.on('error', ignoreError);
  }
}

function ignoreError(): void {}
