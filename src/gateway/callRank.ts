/** Finds the priority rank of a call from its head. */
import type { IncomingMessage } from 'node:http';
import type { HeaderCodec } from '../types/gateway.js';
import type { ActiveConfig } from './configController.js';

const LEAST_URGENT = 9;

/**
 * Returns the rank of the workspace or the route of a call; a call without a route is refused later and is least urgent.
 *
 * @example
 * getRank(message, codec, config.getActive()); // 0 for the most urgent calls
 */
export function getRank(
  { rawHeaders, url = '/' }: Pick<IncomingMessage, 'rawHeaders' | 'url'>,
  codec: HeaderCodec,
  config: ActiveConfig | undefined,
): number {
  const metadata = codec.readCall(rawHeaders);
  if ('field' in metadata || !config) {
    return LEAST_URGENT;
  }
  const { host, keyHash } = metadata;
  const workspace = keyHash === undefined ? undefined : config.workspacesByKey?.get(keyHash);
  const [path = '/'] = url.split('?');
  return workspace?.rank ?? config.routes.find(host, path)?.rank ?? LEAST_URGENT;
}
