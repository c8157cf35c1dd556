/**
 * The executable, with a start in which the listener for peers, the last one, is ready `START_DELAY_MS` after that for
 * callers. Takes the arguments of the executable.
 */
import { Server } from 'node:net';

const START_DELAY_MS = 700;

const listen = Server.prototype.listen as (...args: unknown[]) => Server;
let listenerCount = 0;

Server.prototype.listen = function listenLate(this: Server, ...args: unknown[]): Server {
  listenerCount += 1;
  const isPeerListener = listenerCount === 3;
  setTimeout(() => listen.apply(this, args), isPeerListener ? START_DELAY_MS : 0);
  return this;
} as Server['listen'];

await import('../../src/daemons/shallotrock.js');
