/** Names a stream in records, by a part of a hash. */
import { createHash } from 'node:crypto';
import { brandId, type Brand, type WorkspaceId } from '../../types/ids.js';

/** Identifies a stream within the retention of records; one character for each byte. */
export type StreamKey = Brand<string, 'StreamKey'>;

/** Enough to make a collision of two streams within the retention improbable. */
export const STREAM_KEY_BYTES = 8;

/**
 * Returns the key of the stream that a call began. The workspace is a part of it, so that a caller can't name a stream of
 * another workspace.
 *
 * @example
 * getStreamKey(workspace, '9c41d07be2a35f68');
 */
export function getStreamKey(workspace: WorkspaceId | undefined, callId: string): StreamKey {
  const digest = createHash('sha256')
    .update(JSON.stringify([workspace ?? null, callId]))
    .digest();
  return brandId(digest.toString('latin1', 0, STREAM_KEY_BYTES));
}
