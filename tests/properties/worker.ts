/** The worker thread: runs one chunk of interleavings and posts the formatted failure, if any. */
import { parentPort, workerData } from 'node:worker_threads';
import { checkInterleavings, describeFailure } from './interleaving.js';
import type { Chunk } from './parallel.js';

const details = await checkInterleavings(workerData as Chunk);
parentPort!.postMessage(describeFailure(details));
