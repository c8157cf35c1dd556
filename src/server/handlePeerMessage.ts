/** Reads a message from a peer and passes it to its handler. */
import type { IncomingMessage } from 'node:http';
import { SIGNATURE_HEADER } from '../peers/peerRpc.js';
import { readBody, type BodyLimits } from './readBody.js';

/** Returns the response to a signed message, or `undefined` if the signature is invalid. */
export type PeerMessageHandler = (body: string, signature: string) => Promise<string | undefined>;

/** Returns the response to a peer's message, or `undefined` if its body can't be read or its signature is invalid. */
export async function handlePeerMessage(
  message: IncomingMessage,
  limits: BodyLimits,
  handler: PeerMessageHandler,
): Promise<string | undefined> {
  const body = await readBody(message, limits);
  if (body.err) {
    return undefined;
  }
  const { bytes, release } = body.val;
  try {
    const signature = String(message.headers[SIGNATURE_HEADER] ?? '');
    return await handler(Buffer.from(bytes).toString(), signature);
  } finally {
    release();
  }
}
