/** Admission: refuses requests without an endpoint and queues the others for a slot. */
import { Err } from '../core/results.js';
import type { ServiceName, VmId } from '../types/ids.js';
import { Filter, type Exchange, type FilterResult } from '../types/exchange.js';
import { createRefusal, type Refusal } from '../core/codes.js';
import type { TimerService } from '../core/timers.js';
import { getOrCreate } from '../core/utilities.js';
import type { EndpointController, Slot } from '../controllers/endpointController.js';
import { AdmissionQueue, type Admission, type QueuedRequest } from '../routing/admissionQueue.js';

/** Options of the slot queues. */
export interface AdmitOptions {
  readonly timers: TimerService;
  readonly endpoints: EndpointController;
  readonly queueLength: number;
}

/** Length of the prompt prefix that determines prefix affinity, in characters. */
const AFFINITY_PREFIX_CHARACTERS = 512;
const NO_ENDPOINT_RETRY_AFTER_MS = 2_000;

interface SlotRequest extends QueuedRequest {
  readonly prefix: string;
  readonly digest: string;
  readonly service: ServiceName;
  readonly tried: ReadonlySet<VmId>;
}

/** A slot and the callback that reports its completion to the queue. */
export interface AdmittedSlot {
  readonly slot: Slot;
  /** Records the end of the request in the queue; to be called after the slot was released. */
  readonly recordCompletion: () => void;
}

/** Assigns slots to requests, with one admission queue for each service. */
export class SlotQueues {
  private readonly queues = new Map<ServiceName, AdmissionQueue<Slot>>();

  constructor(private readonly options: AdmitOptions) {}

  /** Waits for a slot on an endpoint that the request has not tried yet. */
  async acquire(
    exchange: Exchange,
    tried: ReadonlySet<VmId>,
  ): Promise<AdmittedSlot | { readonly refusal: Refusal }> {
    const { timers, endpoints } = this.options;
    const request = createSlotRequest(exchange, tried);
    const hasUntriedEndpoint = endpoints
      .getEndpoints(request.service)
      .some(({ isLeaving, info }) => !isLeaving && !tried.has(info.vm));
    if (!hasUntriedEndpoint) {
      return { refusal: createRefusal('noEndpoint', { retryAfterMs: NO_ENDPOINT_RETRY_AFTER_MS }) };
    }
    const queue = this.getQueue(request.service);
    const startedAt = timers.now();
    const admission: Admission<Slot> = await queue.enter(request);
    if (admission.kind === 'refused') {
      return { refusal: admission.refusal };
    }
    const recordCompletion = () => queue.recordCompletion(request, timers.now() - startedAt);
    return { slot: admission.slot, recordCompletion };
  }

  /** Starts queued requests; called when slots may have become free. */
  dispatch(): void {
    this.queues.forEach((queue) => queue.dispatch());
  }

  /** Returns the number of queued requests. */
  getLength(): number {
    return [...this.queues.values()].reduce((sum, queue) => sum + queue.getLength(), 0);
  }

  private getQueue(service: ServiceName): AdmissionQueue<Slot> {
    const { timers, endpoints, queueLength } = this.options;
    return getOrCreate(
      this.queues,
      service,
      () =>
        new AdmissionQueue<Slot>({
          timers,
          maxLength: queueLength,
          tryAcquire: (request) => endpoints.tryAcquire(request as SlotRequest),
          getCapacity: () => endpoints.getCapacity(service),
        }),
    );
  }
}

/** Refuses requests whose service has no endpoint, before tokens are held for them. */
export class Admit extends Filter {
  override readonly name = 'admit';

  constructor(private readonly endpoints: EndpointController) {
    super();
  }

  override async handle(
    exchange: Exchange,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    if (!this.endpoints.hasEndpoints(exchange.permission.service.name)) {
      return Err(createRefusal('noEndpoint', { retryAfterMs: NO_ENDPOINT_RETRY_AFTER_MS }));
    }
    return next();
  }
}

function createSlotRequest(exchange: Exchange, tried: ReadonlySet<VmId>): SlotRequest {
  const { permission, route, key, worstCaseTokens, digest, deadline, request } = exchange;
  const prefix = route.kind === 'chat' ? JSON.stringify(route.chat.messages) : '';
  return {
    workspace: key.workspace,
    priority: permission.allow.priority,
    worth: permission.allow.worth,
    tokens: worstCaseTokens,
    deadline,
    signal: request.signal,
    prefix: prefix.slice(0, AFFINITY_PREFIX_CHARACTERS),
    digest,
    service: permission.service.name,
    tried,
  };
}
