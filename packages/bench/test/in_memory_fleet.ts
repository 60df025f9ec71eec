/**
 * Real stages and a real generation over a network that loses, repeats and
 * reorders messages. Test support; has no processes and no sockets.
 */
import {
  FIRST_ATTEMPT,
  Logger,
  MessageTransport,
  Metrics,
  toId,
  type Chain,
  type ChainId,
  type ChainStage,
  type Engine,
  type Message,
  type ModelId,
  type PeerAddress,
  type RequestId,
  type ServerId,
  type ServiceId,
  type WorkspaceId,
} from '@azurecrank/core';
import {Stage} from '@azurecrank/side';
import {Generation, GenerationPolicy, type GenerationRequest} from 'azurecrank';
import {InMemoryEngine} from './in_memory_engine.js';

export const LAYERS = 6;
const STAGES = 3;
const LAYERS_PER_STAGE = LAYERS / STAGES;
const ENTRY = toId<PeerAddress>('entry');
const MODEL = toId<ModelId>('model');
const MODEL_VERSION = '1';
const DEADLINE_MS = 600_000;
const LOG_BYTES = 1_000_000;

interface Packet {
  readonly from: PeerAddress;
  readonly to: PeerAddress;
  readonly message: Message;
}

/** Messages under way, and those whose senders still expect an answer. */
export class LossyNetwork {
  readonly packets: Packet[] = [];
  private readonly expected = new Map<string, Packet>();

  send(packet: Packet): void {
    this.packets.push(packet);
  }

  sendExpecting(packet: Packet, key: string): void {
    this.expected.set(expectedKey(packet, key), packet);
    this.send(packet);
  }

  settle(from: PeerAddress, to: PeerAddress, key: string): void {
    this.expected.delete(expectedKey({from, to}, key));
  }

  /** What happens when connections are replaced. */
  resendExpected(): void {
    this.packets.push(...this.expected.values());
  }

  /** Processes that expect an answer of a process that is gone. */
  takeSendersTo(to: PeerAddress): PeerAddress[] {
    const senders = new Set<PeerAddress>();
    for (const [key, packet] of this.expected) {
      if (packet.to !== to) continue;
      senders.add(packet.from);
      this.expected.delete(key);
    }
    return [...senders];
  }
}

function expectedKey(
  {from, to}: Pick<Packet, 'from' | 'to'>,
  key: string,
): string {
  return `${from}>${to}#${key}`;
}

class NetworkTransport extends MessageTransport {
  constructor(
    private readonly network: LossyNetwork,
    private readonly own: PeerAddress,
  ) {
    super();
  }

  override get address(): PeerAddress {
    return this.own;
  }

  override send(to: PeerAddress, message: Message): void {
    this.network.send({from: this.own, to, message});
  }

  override sendRepeatable(
    to: PeerAddress,
    key: string,
    message: Message,
  ): void {
    this.network.sendExpecting({from: this.own, to, message}, key);
  }

  override settle(to: PeerAddress, key: string): void {
    this.network.settle(this.own, to, key);
  }
}

class FixedPolicy extends GenerationPolicy {
  constructor(private readonly fleet: InMemoryFleet) {
    super();
  }

  override chooseChain(
    _: GenerationRequest,
    excluded: ReadonlySet<ServerId>,
  ): Chain | undefined {
    // Surviving stages are used again, so that their old caches are met.
    const isUsable = ({server}: ChainStage) =>
      !excluded.has(server) && this.fleet.isAlive(server);
    const [first] = this.fleet.chains;
    const stages = first.stages.flatMap((_, index) => {
      const candidates = this.fleet.chains.map(chain => chain.stages[index]);
      return candidates.find(isUsable) ?? [];
    });
    return stages.length < STAGES ? undefined : {...first, stages};
  }

  override replaceStage(
    chain: Chain,
    stage: number,
    excluded: ReadonlySet<ServerId>,
  ): Chain | undefined {
    const found = this.fleet.chains
      .map(({stages}) => stages[stage])
      .find(({server}) => !excluded.has(server) && this.fleet.isAlive(server));
    if (!found) return undefined;
    const stages = chain.stages.map((old, i) => (i === stage ? found : old));
    return {...chain, stages};
  }

  override allowRetry(): boolean {
    return true;
  }

  override recordSuccess(): void {}

  override recordLeaving(): void {}

  override recordDown(): void {}

  override replaceUnusable(chain: Chain): Chain {
    return chain;
  }
}

export class InMemoryFleet implements Disposable {
  readonly network = new LossyNetwork();
  readonly engines = new Map<PeerAddress, InMemoryEngine>();
  readonly chains: readonly Chain[];
  text = '';
  isEnded = false;
  refusal = '';
  private readonly held: Packet[] = [];
  private readonly stages = new Map<PeerAddress, Stage>();
  private readonly generation: Generation;
  private readonly logger = new Logger('test', 'silent');

  constructor(prompt: string, maxTokens: number, logBytes = LOG_BYTES) {
    this.chains = ['a', 'b'].map(name => createChain(name));
    for (const stage of this.chains.flatMap(({stages}) => stages)) {
      this.addStage(stage, logBytes);
    }
    this.generation = new Generation(
      createRequest(prompt, maxTokens),
      {
        onToken: text => (this.text += text),
        onEnd: () => (this.isEnded = true),
        onRefused: ({reason}) => {
          this.refusal = reason;
          this.isEnded = true;
        },
      },
      {
        transport: new NetworkTransport(this.network, ENTRY),
        policy: new FixedPolicy(this),
        metrics: new Metrics(),
        logger: this.logger,
      },
    );
    this.generation.start();
  }

  isAlive(server: ServerId): boolean {
    return this.stages.has(toId<PeerAddress>(server));
  }

  /** Removes packet `index` from the network and hands it to its receiver. */
  async deliver(index: number): Promise<void> {
    const [packet] = this.network.packets.splice(index, 1);
    await this.receive(packet);
  }

  /** Hands a packet over and keeps a copy of it under way. */
  async deliverCopy(index: number): Promise<void> {
    await this.receive(this.network.packets[index]);
  }

  /** Keeps a packet on a connection that is read only after the end. */
  hold(index: number): void {
    this.held.push(...this.network.packets.splice(index, 1));
  }

  /** Delivers what is still under way, then what was held. */
  async deliverHeld(): Promise<void> {
    while (this.network.packets.length > 0) await this.deliver(0);
    for (const packet of this.held.splice(0)) await this.receive(packet);
  }

  kill(address: PeerAddress): void {
    this.stages.get(address)?.[Symbol.dispose]();
    this.stages.delete(address);
  }

  /** Tells senders that a process without an answer is gone. */
  reportDead(): void {
    for (const {address} of this.chains.flatMap(({stages}) => stages)) {
      if (this.stages.has(address)) continue;
      for (const sender of this.network.takeSendersTo(address)) {
        if (sender === ENTRY) this.generation.onHeadDown(address);
        else this.stages.get(sender)?.reportPeerDown(address);
      }
    }
  }

  [Symbol.dispose](): void {
    this.generation[Symbol.dispose]();
    for (const stage of this.stages.values()) stage[Symbol.dispose]();
  }

  private addStage(planned: ChainStage, activationLogBytes: number): void {
    const {address, server, firstLayer, endLayer} = planned;
    const engine = new InMemoryEngine(firstLayer, endLayer, LAYERS);
    this.engines.set(address, engine);
    const stage = new Stage({
      engine: engine as Engine,
      transport: new NetworkTransport(this.network, address),
      metrics: new Metrics(),
      logger: this.logger,
      node: server,
      activationLogBytes,
      orphanTimeoutMs: DEADLINE_MS,
    });
    stage.setEngineInfo(engine.describe(MODEL, MODEL_VERSION));
    this.stages.set(address, stage);
  }

  private async receive({to, message}: Packet): Promise<void> {
    if (to === ENTRY) this.generation.receive(message);
    else this.receiveAtStage(to, message);
    // Lets the stage's batch, which starts in the next turn, come to its end.
    for (let turn = 0; turn < 3; turn++) {
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  private receiveAtStage(to: PeerAddress, message: Message): void {
    const stage = this.stages.get(to);
    if (!stage) return;
    switch (message.type) {
      case 'open':
        return this.grant(to, message.request, message.attempt, message.prompt);
      case 'step':
      case 'activation':
        return stage.handleInput(message);
      case 'reroute':
        return stage.reroute(message);
      case 'replay':
        return stage.replay(message);
      case 'release':
        return stage.release(message);
      default:
        return;
    }
  }

  /** Stands for the head's queue, which is not under test here. */
  private grant(
    from: PeerAddress,
    request: RequestId,
    attempt: typeof FIRST_ATTEMPT,
    prompt: string,
  ): void {
    const promptTokens = InMemoryEngine.tokensOf(prompt);
    const message = {type: 'granted', request, attempt, promptTokens} as const;
    this.network.send({from, to: ENTRY, message});
  }
}

function createChain(name: string): Chain {
  const stages = Array.from({length: STAGES}, (_, index): ChainStage => {
    const firstLayer = index * LAYERS_PER_STAGE;
    const server = `${name}-${index}`;
    return {
      server: toId<ServerId>(server),
      address: toId<PeerAddress>(server),
      availabilityZone: 'zone',
      firstLayer,
      endLayer: firstLayer + LAYERS_PER_STAGE,
    };
  });
  const chain = toId<ChainId>(name);
  return {chain, model: MODEL, modelVersion: MODEL_VERSION, stages};
}

function createRequest(prompt: string, maxTokens: number): GenerationRequest {
  const deadlineAtMs = performance.now() + DEADLINE_MS;
  return {
    request: toId<RequestId>('request-1'),
    workspace: toId<WorkspaceId>('workspace'),
    weight: 1,
    rank: 'urgent',
    service: toId<ServiceId>('service'),
    model: MODEL,
    prompt,
    maxTokens,
    deadlineAtMs,
    firstTokenDeadlineAtMs: deadlineAtMs,
  };
}
