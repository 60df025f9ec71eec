/** Finds other paths for a running stream whose servers are lost or impaired. */
import type {ChainLoads} from '../admission/chain_loads.js';
import type {ModelAdmission} from '../admission/model_admission.js';
import type {ServerAddress} from '../fleet/backend_server.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {ServerHolds} from '../limits/server_holds.js';
import {toChain} from '../paths/find_chains.js';
import {findPath} from '../paths/find_path.js';
import type {ServerPath} from '../paths/server_path.js';
import type {ModelSpec} from '../routing/routing_table.js';

export interface ReplacementPathsOptions {
  readonly fleet: FleetView;
  readonly loads: ChainLoads;
  readonly holds: ServerHolds;
  readonly nowMs: () => number;
}

export class ReplacementPaths {
  /** Servers that have refused to be a new stage of the stream. */
  private readonly refusing = new Set<ServerAddress>();

  /** @param costTokens KV-cache tokens that the stream uses on a chain */
  constructor(
    private readonly model: ModelSpec,
    private readonly admission: ModelAdmission,
    private readonly costTokens: number,
    private readonly options: ReplacementPathsOptions,
  ) {}

  /** Records that a server refused to be a new stage of the stream. */
  exclude(address: ServerAddress): void {
    this.refusing.add(address);
  }

  suspectedServers(path: ServerPath): ServerAddress[] {
    const {fleet} = this.options;
    return path
      .map(({server}) => server.address)
      .filter(address => fleet.isSuspected(address));
  }

  /** Servers of the path that drain, refuse requests or are very slow. */
  impairedServers(path: ServerPath): ServerAddress[] {
    const {fleet} = this.options;
    return path
      .map(({server}) => server)
      .filter(s => fleet.takesNoNewRequests(s) || fleet.isVerySlow(s.address))
      .map(({address}) => address);
  }

  /**
   * Finds a path with the same first stage and without suspected servers. It
   * stays within the availability zones of the current path, since its new
   * stages process all tokens so far again. Servers on hold and those that have
   * refused are no new stages.
   * Returns undefined if there is none, or if it is overcommitted while another
   * chain has free capacity.
   */
  find(current: ServerPath): ServerPath | undefined {
    const {fleet, loads, holds, nowMs} = this.options;
    const [first] = current;
    const now = nowMs();
    const onPath = new Set(current.map(({server}) => server.address));
    const zones = new Set(current.map(({server}) => server.availabilityZone));
    const path = findPath({
      model: this.model,
      servers: fleet
        .usable(first.server.service)
        .filter(({availabilityZone}) => zones.has(availabilityZone))
        .filter(s => onPath.has(s.address) || holds.maySend(s, now))
        .filter(({address}) => !this.refusing.has(address)),
      current,
      firstStage: first,
    });
    if (!path) return undefined;
    const chain = toChain(this.model, path);
    const isOvercommitted = loads.usedFraction(chain, now) > 1;
    const hasOtherChain = this.admission.places.hasFreeTokensOn(
      this.costTokens,
      address => address !== first.server.address,
    );
    return isOvercommitted && hasOtherChain ? undefined : path;
  }
}
