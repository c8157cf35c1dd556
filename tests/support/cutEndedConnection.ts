/** Cuts a response whose caller has ended its side of the connection, then has nothing left to do and ends. */
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { cutResponse } from '../../src/server/cutResponse.js';

const server = createServer((message, response) => {
  response.writeHead(200);
  response.write('data: t1\n\n');
  // Node ends its side as well before it emits this.
  message.socket.on('end', () => cutResponse(response));
});

server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo;
  const caller = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  caller.write('GET / HTTP/1.0\r\n\r\n');
  caller.on('error', () => {});
  caller.on('end', () => caller.destroy());
  caller.once('data', () => {
    caller.end();
    setTimeout(() => {
      caller.destroy();
      server.close();
    }, 200);
  });
});
