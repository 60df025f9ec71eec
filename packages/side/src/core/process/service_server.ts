/** The part of a side process that serves a plain service. */
import {
  ClaimStore,
  DisposableStore,
  HttpPlainService,
  type InstanceId,
  type KeyValueService,
  type Message,
  type Metrics,
  type PauseMonitor,
  type PeerLink,
  type ServiceId,
  type SideSettings,
} from '@azurecrank/core';
import {CallHandler} from '../calls/call_handler.js';

export interface ServiceServerOptions {
  readonly settings: SideSettings;
  readonly serviceUrl: string;
  readonly service: ServiceId;
  readonly instance: InstanceId;
  readonly keyValue: KeyValueService;
  readonly metrics: Metrics;
  readonly pauses: PauseMonitor;
}

export class ServiceServer implements Disposable {
  private readonly store = new DisposableStore();
  private readonly handler: CallHandler;

  constructor(options: ServiceServerOptions) {
    const {settings, serviceUrl, service, instance, metrics} = options;
    const backend = this.store.add(new HttpPlainService(serviceUrl));
    const claims = this.store.add(
      new ClaimStore(options.keyValue, service, instance, metrics, {
        pages: settings.claimPages,
        retentionMs: settings.claimRetentionMs,
        bodyBytes: settings.claimBodyBytes,
        batchWindowMs: settings.claimBatchWindowMs,
        recordDelayMs: settings.claimRecordDelayMs,
      }),
    );
    this.handler = new CallHandler(backend, claims, options.pauses, metrics, {
      peer: settings.server,
      maxWaiting: settings.maxQueuedRequests,
    });
  }

  get isIdle(): boolean {
    return this.handler.inFlight === 0;
  }

  /** Takes no new call; those accepted go on. */
  leave(): void {
    this.handler.startDraining();
  }

  /** Resolves when all calls have ended and their outcomes are recorded. */
  drained(): Promise<void> {
    return this.handler.drained();
  }

  receive(message: Message, link: PeerLink): void {
    if (message.type === 'call') {
      void this.handler.handle(message).then(answer => link.send(answer));
    } else if (message.type === 'cancel') {
      link.send(this.handler.cancel(message));
    }
  }

  [Symbol.dispose](): void {
    this.store[Symbol.dispose]();
  }
}
