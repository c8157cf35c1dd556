/** Runs interleavings in worker threads. Chunks and results do not depend on the number of threads. */
import { Worker } from 'node:worker_threads';
import type { InterleavingOptions } from './interleaving.js';

const THREADS = 6;
const CHUNK_RUNS = 125;

/** The interleavings of one worker run. */
export interface Chunk {
  readonly runs: number;
  readonly seed: number;
  /** Restricted to plain data, since it is cloned to another thread. */
  readonly interleaving: Pick<
    InterleavingOptions,
    'tokens' | 'routers' | 'retentionMs' | 'checkService' | 'idleReturnMs' | 'homesPerZone'
  >;
}

/** Options of `runInParallel`. */
export interface ParallelOptions extends Partial<Chunk> {
  readonly runs: number;
  readonly seed: number;
  readonly onProgress?: (done: number) => void;
}

/** Runs the interleavings and returns the formatted failures. */
export async function runInParallel(options: ParallelOptions): Promise<string[]> {
  const { runs, seed, interleaving = {}, onProgress } = options;
  const chunks: Chunk[] = Array.from({ length: Math.ceil(runs / CHUNK_RUNS) }, (_, index) => ({
    runs: Math.min(CHUNK_RUNS, runs - index * CHUNK_RUNS),
    seed: seed + index,
    interleaving,
  }));
  const failures: string[] = [];
  let done = 0;
  const work = async () => {
    for (let chunk = chunks.shift(); chunk; chunk = chunks.shift()) {
      const failure = await runInWorker(chunk);
      failures.push(...(failure === '' ? [] : [failure]));
      done += chunk.runs;
      onProgress?.(done);
    }
  };
  await Promise.all(Array.from({ length: THREADS }, work));
  return failures;
}

function runInWorker(chunk: Chunk): Promise<string> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL('./worker.js', import.meta.url), { workerData: chunk });
    worker.once('message', resolve);
    worker.once('error', reject);
  });
}
