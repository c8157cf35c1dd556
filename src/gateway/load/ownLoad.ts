/** What this gateway has in flight at each endpoint, and what it has sent and measured since its last report. */
import { getOrCreate } from '../../core/utilities.js';
import type { VmId } from '../../types/ids.js';
import type { LoadRow } from '../../types/peers.js';

/** The load of one call on its endpoint. */
export interface CallLoad {
  /** Prompt tokens that are probably not cached. */
  readonly prefillTokens: number;
  /** Tokens of the prompt and of the expected output. */
  readonly memoryTokens: number;
  /** Tokens that the endpoint prefills until the first event, those of calls before it included; 0 if unknown. */
  readonly tokensUntilFirstEvent: number;
}

/** The load of this gateway on one endpoint. */
export interface OwnEndpointLoad {
  calls: number;
  prefillTokens: number;
  memoryTokens: number;
  /** Since the last report. */
  sentTokens: number;
  sampleMs: number;
  sampleTokens: number;
}

/** A call in flight. Each method takes effect once. */
export interface CallInFlight {
  /** Records that the endpoint has prefilled the prompt. */
  readonly recordFirstEvent: (elapsedMs: number) => void;
  /** Records that the call has left the endpoint. */
  readonly end: () => void;
}

const NO_LOAD: Readonly<OwnEndpointLoad> = {
  calls: 0,
  prefillTokens: 0,
  memoryTokens: 0,
  sentTokens: 0,
  sampleMs: 0,
  sampleTokens: 0,
};

/** Prefills below this are dominated by the time for the connection and the first token. */
const SAMPLE_TOKENS_MIN = 3_000;

/**
 * The load of one gateway.
 *
 * @example
 * const call = ownLoad.start(endpoint, { prefillTokens: 900, memoryTokens: 1_000, tokensUntilFirstEvent: 900 });
 * call.recordFirstEvent(12);
 * call.end();
 */
export class OwnLoad {
  private readonly loads = new Map<VmId, OwnEndpointLoad>();

  private callCount = 0;

  /** Returns the load on an endpoint. */
  get(endpoint: VmId): Readonly<OwnEndpointLoad> {
    return this.loads.get(endpoint) ?? NO_LOAD;
  }

  /** Returns the number of calls in flight at all endpoints. */
  getCallCount(): number {
    return this.callCount;
  }

  /** Records that a call is sent. */
  start(
    endpoint: VmId,
    { prefillTokens, memoryTokens, tokensUntilFirstEvent }: CallLoad,
  ): CallInFlight {
    const load = getOrCreate(this.loads, endpoint, () => ({ ...NO_LOAD }));
    let isPrefillPending = true;
    let isInFlight = true;
    this.callCount += 1;
    load.calls += 1;
    load.prefillTokens += prefillTokens;
    load.memoryTokens += memoryTokens;
    load.sentTokens += prefillTokens;
    const endPrefill = () => {
      load.prefillTokens -= isPrefillPending ? prefillTokens : 0;
      isPrefillPending = false;
    };
    return {
      recordFirstEvent: (elapsedMs) => {
        if (isPrefillPending && tokensUntilFirstEvent >= SAMPLE_TOKENS_MIN) {
          load.sampleMs += elapsedMs;
          load.sampleTokens += tokensUntilFirstEvent;
        }
        endPrefill();
      },
      end: () => {
        endPrefill();
        if (isInFlight) {
          isInFlight = false;
          this.callCount -= 1;
          load.calls -= 1;
          load.memoryTokens -= memoryTokens;
        }
      },
    };
  }

  /** Returns the rows of the next report, and begins to count anew what is reported since the last one. */
  takeRows(): LoadRow[] {
    const rows: LoadRow[] = [];
    this.loads.forEach((load, endpoint) => {
      const { calls, prefillTokens, memoryTokens, sentTokens, sampleMs, sampleTokens } = load;
      if (calls === 0 && sentTokens === 0 && sampleTokens === 0) {
        this.loads.delete(endpoint);
        return;
      }
      rows.push([
        endpoint,
        calls,
        Math.round(prefillTokens),
        Math.round(memoryTokens),
        Math.round(sentTokens),
        Math.round(sampleMs),
        Math.round(sampleTokens),
      ]);
      load.sentTokens = 0;
      load.sampleMs = 0;
      load.sampleTokens = 0;
    });
    return rows;
  }
}
