/** Reads what a peer sends, and has it answered. */
import type { IncomingMessage } from 'node:http';
import { SIGNATURE_HEADER } from '../peers/peerRpc.js';
import { readBody, type BodyLimits } from './readBody.js';

/** Answers a body that carries a signature; `undefined` where it is not a peer's. */
export type PeerMessageHandler = (body: string, signature: string) => Promise<string | undefined>;

/** Returns the answer to a peer's message, `undefined` where its body or signature is not good. */
export async function handlePeerMessage(
  message: IncomingMessage,
  limits: BodyLimits,
  handler: PeerMessageHandler,
): Promise<string | undefined> {
  const body = await readBody(message, limits);
  const signature = String(message.headers[SIGNATURE_HEADER] ?? '');
  return body.ok ? handler(Buffer.from(body.val).toString(), signature) : undefined;
}
