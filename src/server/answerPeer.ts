/** Reads what a peer sends, and has it answered. */
import type { IncomingMessage } from 'node:http';
import { SIGNATURE_HEADER } from '../peers/peerRpc.js';
import { readBody, type BodyLimits } from './readBody.js';

/** Answers a body that carries a signature; `undefined` where it is not a peer's. */
export type PeerAnswerer = (body: string, signature: string) => Promise<string | undefined>;

/** Returns the answer to a peer's message, `undefined` where its body or signature is not good. */
export async function readPeerAnswer(
  message: IncomingMessage,
  limits: BodyLimits,
  answerPeer: PeerAnswerer,
): Promise<string | undefined> {
  const body = await readBody(message, limits);
  const signature = String(message.headers[SIGNATURE_HEADER] ?? '');
  return body.ok ? answerPeer(Buffer.from(body.val).toString(), signature) : undefined;
}
