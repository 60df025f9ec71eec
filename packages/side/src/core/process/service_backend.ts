/** Connects a side process to a plain service: claims and calls. */
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

export interface ServiceBackendOptions {
  readonly settings: SideSettings;
  readonly serviceUrl: string;
  readonly service: ServiceId;
  readonly instance: InstanceId;
  readonly keyValue: KeyValueService;
  readonly metrics: Metrics;
  readonly pauses: PauseMonitor;
}

export class ServiceBackend implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly callHandler: CallHandler;

  constructor(options: ServiceBackendOptions) {
    const {settings, serviceUrl, service, instance, metrics} = options;
    const plainService = this.disposables.add(new HttpPlainService(serviceUrl));
    const claims = this.disposables.add(
      new ClaimStore(options.keyValue, service, instance, metrics, {
        pages: settings.claimPages,
        retentionMs: settings.claimRetentionMs,
        maxAnswerBytes: settings.claimBodyBytes,
        batchWindowMs: settings.claimBatchWindowMs,
        recordDelayMs: settings.claimRecordDelayMs,
      }),
    );
    this.callHandler = new CallHandler(
      plainService,
      claims,
      options.pauses,
      metrics,
      {
        peer: settings.server,
        maxWaiting: settings.maxQueuedRequests,
      },
    );
  }

  /** Whether no call is running or waiting. */
  get isIdle(): boolean {
    return this.callHandler.inFlight === 0;
  }

  /** Refuses new calls; those already accepted continue. */
  startDraining(): void {
    this.callHandler.startDraining();
  }

  /** Resolves when all calls have ended and their outcomes are recorded. */
  drained(): Promise<void> {
    return this.callHandler.drained();
  }

  receive(message: Message, link: PeerLink): void {
    if (message.type === 'call') {
      void this.callHandler.handle(message).then(answer => link.send(answer));
    } else if (message.type === 'cancel') {
      link.send(this.callHandler.cancel(message));
    }
  }

  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }
}
