/** Starts processes for the launch script and for tests, and ends them by id. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

/** A started process. */
export interface StartedProcess {
  readonly child: ChildProcess;
  readonly port: number;
  /** Resolves with the exit code, or `undefined` after a signal. */
  readonly exitCode: Promise<number | undefined>;
}

/** Options of a process. */
export interface ProcessOptions {
  readonly script: string;
  readonly args: readonly string[];
  /** Whether its standard error is shown. Default false. */
  readonly isStderrInherited?: boolean;
}

const REPOSITORY_URL = new URL('../../', import.meta.url);

/** Returns the path of a file of the built tree, such as `dist/standins/main.js`. */
export function getRepositoryPath(path: string): string {
  return new URL(path, REPOSITORY_URL).pathname;
}

/** Starts a script that prints a line of JSON with its port. */
export async function startProcess(options: ProcessOptions): Promise<StartedProcess> {
  const { script, args, isStderrInherited: isStderrInherited = false } = options;
  const child = spawn(process.execPath, [getRepositoryPath(script), ...args], {
    stdio: ['ignore', 'pipe', isStderrInherited ? 'inherit' : 'ignore'],
    // A Ctrl-C of the terminal reaches the launcher alone, which ends routers before what they need.
    detached: true,
  });
  const exitCode = new Promise<number | undefined>((resolve) => {
    child.on('exit', (code) => resolve(code ?? undefined));
  });
  const line = await Promise.race([
    readFirstLine(child),
    exitCode.then((code) => {
      throw new Error(`${script} ${args.join(' ')} ended with ${code} before it listened`);
    }),
  ]);
  const { port, listening } = JSON.parse(line) as { port?: number; listening?: number };
  return { child, port: port ?? listening ?? 0, exitCode };
}

/** Asks a process to end and waits for it. */
export async function stopProcess({
  child,
  exitCode,
}: StartedProcess): Promise<number | undefined> {
  child.kill('SIGTERM');
  return exitCode;
}

function readFirstLine(child: ChildProcess): Promise<string> {
  return new Promise((resolve) => {
    createInterface({ input: child.stdout! }).once('line', resolve);
  });
}
