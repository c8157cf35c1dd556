/** The projection of the billing stream, used for audits only. The first bill of a request counts. */
import type { Incarnation, Offset, RequestId } from '../types/ids.js';
import type { BillEntry, Entry } from '../types/records.js';
import { Projection, type EntryContext } from './projection.js';

/** A bill with its writer and offset. */
export interface Bill {
  readonly entry: BillEntry;
  readonly holder: Incarnation;
  readonly offset: Offset;
}

/** The state of the billing stream. */
export class BillProjection extends Projection {
  readonly bills = new Map<RequestId, Bill>();

  /** Later bills of requests that were already billed. These do not count. */
  readonly duplicates: Bill[] = [];

  override apply(entry: Entry, context: EntryContext): void {
    if (entry.kind !== 'bill') {
      return;
    }
    const bill = { entry, holder: context.incarnation, offset: context.offset };
    if (this.bills.has(entry.request)) {
      this.duplicates.push(bill);
    } else {
      this.bills.set(entry.request, bill);
    }
  }

  override save(): unknown {
    return [...this.bills.values()].map(({ entry, holder, offset }) => [entry, holder, offset]);
  }

  override load(saved: unknown): void {
    this.bills.clear();
    (saved as [BillEntry, Incarnation, Offset][]).forEach(([entry, holder, offset]) => {
      this.bills.set(entry.request, { entry, holder, offset });
    });
  }
}
