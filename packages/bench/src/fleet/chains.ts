/** Model servers whose engines hold the ranges of whole chains already. */
import type {Forwarder} from '@azurecrank/standins';
import type {Fleet, ModelServer, ModelServerOptions} from './fleet.js';

export interface ChainOptions extends Omit<
  ModelServerOptions,
  'server' | 'firstLayer' | 'endLayer' | 'availabilityZone'
> {
  /** Zone of each chain, by the chain's name. */
  readonly chains: Readonly<Record<string, string>>;
  readonly stages: number;
  /** Whether open connections to the servers can be made silent. */
  readonly isForwarded?: boolean;
}

export interface ChainServer extends ModelServer {
  readonly chain: string;
  readonly stage: number;
  readonly forwarder?: Forwarder;
}

export async function startChains(
  fleet: Fleet,
  {chains, stages, isForwarded = false, ...options}: ChainOptions,
): Promise<ChainServer[]> {
  const size = options.modelLayers / stages;
  const starts = Object.entries(chains).flatMap(([chain, availabilityZone]) =>
    Array.from({length: stages}, async (_, stage) => {
      const server: ModelServerOptions = {
        ...options,
        server: `${chain}-${stage}`,
        availabilityZone,
        firstLayer: stage * size,
        endLayer: (stage + 1) * size,
      };
      const started = isForwarded
        ? await fleet.startForwardedServer(server)
        : await fleet.startModelServer(server);
      return {...started, chain, stage};
    }),
  );
  return Promise.all(starts);
}
