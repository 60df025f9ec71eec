/** Starts the model servers of complete chains, with their layers already loaded. */
import type {TcpForwarder} from '@azurecrank/standins';
import type {Fleet, ModelServer, ModelServerOptions} from './fleet.js';

export interface ChainOptions extends Omit<
  ModelServerOptions,
  'server' | 'firstLayer' | 'endLayer' | 'availabilityZone'
> {
  /** Availability zone of each chain, by the chain's name. */
  readonly chains: Readonly<Record<string, string>>;
  readonly stages: number;
  /** Whether peers reach the servers through forwarders that can stall connections. */
  readonly usesForwarder?: boolean;
}

export interface ChainServer extends ModelServer {
  readonly chain: string;
  readonly stage: number;
  readonly forwarder?: TcpForwarder;
}

export async function startChains(
  fleet: Fleet,
  {chains, stages, usesForwarder = false, ...options}: ChainOptions,
): Promise<ChainServer[]> {
  const layersPerStage = options.modelLayers / stages;
  const starts = Object.entries(chains).flatMap(([chain, availabilityZone]) =>
    Array.from({length: stages}, async (_, stage) => {
      const server: ModelServerOptions = {
        ...options,
        server: `${chain}-${stage}`,
        availabilityZone,
        firstLayer: stage * layersPerStage,
        endLayer: (stage + 1) * layersPerStage,
      };
      const started = usesForwarder
        ? await fleet.startForwardedServer(server)
        : await fleet.startModelServer(server);
      return {...started, chain, stage};
    }),
  );
  return Promise.all(starts);
}
