/** Runs one stand-in as a process: `main.js KIND [--port N]`. Prints its port as a line of JSON. */
import { parseArgs } from 'node:util';
import { EngineStandin } from './engineStandin.js';
import type { HttpStandin } from './httpStandin.js';
import { LogStandin } from './logStandin.js';
import { ServiceStandin } from './serviceStandin.js';
import { VmListStandin } from './vmListStandin.js';

const { positionals, values } = parseArgs({
  allowPositionals: true,
  options: {
    port: { type: 'string', default: '0' },
    'token-ms': { type: 'string', default: '5' },
    slots: { type: 'string', default: '16' },
    'answer-tokens': { type: 'string', default: '12' },
    'batch-factor': { type: 'string', default: '0' },
    queue: { type: 'string', default: '0' },
    'prefill-ms': { type: 'string', default: '0' },
    'load-lag-ms': { type: 'string', default: '0' },
    'appends-per-second': { type: 'string', default: '500' },
    'retention-ms': { type: 'string', default: '3600000' },
  },
});

function createStandin(kind: string | undefined): HttpStandin {
  switch (kind) {
    case 'log':
      return new LogStandin({
        appendsPerSecond: Number(values['appends-per-second']),
        retentionMs: Number(values['retention-ms']),
      });
    case 'vms':
      return new VmListStandin();
    case 'engine':
      return new EngineStandin({
        tokenIntervalMs: Number(values['token-ms']),
        slots: Number(values.slots),
        completionTokens: Number(values['answer-tokens']),
        fullBatchSlowdown: Number(values['batch-factor']),
        queueCapacity: Number(values.queue),
        prefillMs: Number(values['prefill-ms']),
        loadLagMs: Number(values['load-lag-ms']),
        onCrash: () => process.exit(1),
      });
    case 'service':
      return new ServiceStandin();
    default:
      throw new Error(`unknown stand-in '${kind}'; expected log, vms, engine or service`);
  }
}

const port = await createStandin(positionals[0]).listen(Number(values.port));
process.stdout.write(`${JSON.stringify({ port })}\n`);
