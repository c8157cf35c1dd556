/** A client: sends one request on a connection of its own and tells what came of it. */
import { request } from 'node:http';

let count = 0;

/** Returns an id that no other attempt of this script has. */
export function createAttemptId() {
  count += 1;
  return `${process.pid.toString(16)}${count.toString(16).padStart(8, '0')}`;
}

/**
 * Sends a request. Resolves with `{ id, status, headers, body, error, isComplete }`; `status` is `undefined` if no answer
 * came. `onData` is called with each part of the body.
 */
export function send(
  router,
  {
    method = 'POST',
    path,
    host,
    headers = {},
    body,
    deadlineMs = 3_000,
    onData,
    agent = false,
    id = createAttemptId(),
  },
) {
  const { options } = router;
  return new Promise((resolve) => {
    const result = { id, status: undefined, headers: {}, body: '', isComplete: false };
    let timer;
    const finish = (error) => {
      clearTimeout(timer);
      resolve({ ...result, error });
    };
    const message = request({
      host: options.host,
      port: options.ports[0],
      method,
      path,
      agent,
      headers: {
        host,
        'Shallotrock-Attempt-Id': id,
        'Shallotrock-Deadline-Ms': String(deadlineMs),
        ...headers,
      },
    });
    timer = setTimeout(() => {
      message.destroy();
      finish('deadline');
    }, deadlineMs);
    message.on('error', (error) => finish(error.code ?? error.message));
    message.on('response', (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.setEncoding('latin1');
      response.on('data', (text) => {
        result.body += text;
        onData?.(text, result, message);
      });
      response.on('error', () => {});
      response.on('close', () => {
        result.isComplete = response.complete;
        finish(response.complete ? undefined : 'cut');
      });
    });
    message.end(body);
  });
}
