/** Starts and stops processes for the launch script, tests and benchmarks. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

export interface StartedProcess {
  readonly child: ChildProcess;
  readonly port: number;
  /** Resolves with the exit code, or with `undefined` if a signal ended the process. */
  readonly exitCode: Promise<number | undefined>;
}

export interface ProcessOptions {
  readonly script: string;
  readonly args: readonly string[];
  /** Whether the process writes to this process's standard error. Default false. */
  readonly isStderrInherited?: boolean;
  /** Called before the process listens. */
  readonly onSpawn?: (child: ChildProcess) => void;
}

const REPOSITORY_URL = new URL('../../', import.meta.url);

/** Returns the absolute path of a file of the repository, such as `dist/standins/main.js`. */
export function getRepositoryPath(path: string): string {
  return new URL(path, REPOSITORY_URL).pathname;
}

/** Starts a script and waits for its first output line, which is JSON and holds its port. */
export async function startProcess(options: ProcessOptions): Promise<StartedProcess> {
  const { script, args, isStderrInherited = false, onSpawn } = options;
  const child = spawn(process.execPath, [getRepositoryPath(script), ...args], {
    stdio: ['ignore', 'pipe', isStderrInherited ? 'inherit' : 'ignore'],
    // Keeps the terminal's Ctrl-C from the child: the launcher stops routers before the processes they depend on.
    detached: true,
  });
  onSpawn?.(child);
  const exitCode = new Promise<number | undefined>((resolve) => {
    child.on('exit', (code) => resolve(code ?? undefined));
  });
  const line = await Promise.race([
    readFirstLine(child),
    exitCode.then((code) => {
      throw new Error(`${script} ${args.join(' ')} exited with code ${code} before it listened`);
    }),
  ]);
  const { port, listening } = JSON.parse(line) as { port?: number; listening?: number };
  return { child, port: port ?? listening ?? 0, exitCode };
}

/** Sends SIGTERM to a process and waits until it exits. */
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
