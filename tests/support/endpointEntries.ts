/** Entries of endpoints. */
import type { EndpointEntry } from '../../src/types/gateway.js';
import { brandId, type Offset, type ServiceName } from '../../src/types/ids.js';

/** The service of the entries. */
export const ENTRY_SERVICE: ServiceName = brandId('s');

/** Returns an offset of a record. */
export function at(offset: number): Offset {
  return brandId<Offset>(offset);
}

/** Creates the entry of a ready endpoint. */
export function createEndpointEntry(fields: Partial<EndpointEntry> = {}): EndpointEntry {
  return {
    id: brandId('e'),
    startedAtMs: 100,
    sequence: 1,
    service: ENTRY_SERVICE,
    host: '127.0.0.1',
    port: 80,
    availabilityZone: brandId('z'),
    slots: 4,
    state: 'ready',
    warmupMs: 0,
    ...fields,
  };
}
