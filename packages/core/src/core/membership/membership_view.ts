/**
 * Decides which servers may get new work, from the host list, registrations,
 * leaving notices and the failure detector.
 */
import type {HostId, ServerId, ServiceId} from '../ids/ids.js';
import type {
  Plan,
  ServerRegistration,
  ServiceServer,
} from '../placement/plan.js';
import type {ListedHost} from '../platform/host_list.js';
import type {Chain} from '../wire/messages.js';

/** Why a server gets no new work. */
export type Ineligibility =
  /** The server's own notice or refusal says that it is leaving. */
  | 'notice'
  /** Its registration is marked as leaving. */
  | 'registered_leaving'
  /** The host list marks its host as leaving. */
  | 'host_leaving'
  /** Its host was in the host list and is not there any more. */
  | 'host_gone'
  /** The connection to it was declared down. */
  | 'down';

interface LeavingNotice {
  /** Instance of the side process that sent the notice; empty if unknown. */
  readonly instance: string;
}

/**
 * A server is ineligible if any source says so, because lagging sources still
 * list a server that has left. Absence from the host list counts only for hosts
 * that were in it before, because new hosts appear there late.
 */
export class MembershipView {
  private readonly leavingNotices = new Map<ServerId, LeavingNotice>();
  private readonly instances = new Map<ServerId, string>();
  private readonly downServers = new Set<ServerId>();
  private registrations = new Map<ServerId, ServerRegistration>();
  private hosts = new Map<HostId, ListedHost['state']>();
  private readonly everListed = new Set<HostId>();

  /** Replaces the host list. Failed reads must not be passed as a list. */
  updateHosts(listed: readonly ListedHost[]): void {
    this.hosts = new Map(listed.map(({host, state}) => [host, state]));
    for (const {host} of listed) this.everListed.add(host);
  }

  updateRegistrations(registrations: readonly ServerRegistration[]): void {
    this.registrations = new Map(registrations.map(r => [r.server, r]));
    for (const {server, instance, state} of registrations) {
      const isOldRun = this.leavingNotices.get(server)?.instance !== instance;
      if (isOldRun && state === 'live') this.leavingNotices.delete(server);
    }
  }

  /** Records that a server said `leaving` in a notice or as refusal reason. */
  recordLeaving(server: ServerId): void {
    const registered = this.registrations.get(server)?.instance;
    const instance = this.instances.get(server) ?? registered ?? '';
    this.leavingNotices.set(server, {instance});
  }

  /** Records a `hello`. The notice of an earlier instance becomes invalid. */
  recordHello(server: ServerId, instance: string): void {
    this.downServers.delete(server);
    if (this.instances.get(server) === instance) return;
    this.instances.set(server, instance);
    if (this.leavingNotices.get(server)?.instance !== instance) {
      this.leavingNotices.delete(server);
    }
  }

  markDown(server: ServerId): void {
    this.downServers.add(server);
  }

  markUp(server: ServerId): void {
    this.downServers.delete(server);
  }

  /** Why a server gets no new work; undefined if it is eligible. */
  ineligibilityReason(server: ServerId): Ineligibility | undefined {
    if (this.leavingNotices.has(server)) return 'notice';
    const registration = this.registrations.get(server);
    if (registration?.state === 'leaving') return 'registered_leaving';
    if (registration) {
      const host = registration.host as HostId;
      const listed = this.hosts.get(host);
      if (listed === 'leaving') return 'host_leaving';
      if (!listed && this.everListed.has(host)) return 'host_gone';
    }
    return this.downServers.has(server) ? 'down' : undefined;
  }

  isEligible(server: ServerId): boolean {
    return this.ineligibilityReason(server) === undefined;
  }

  /** Chains of the plan with only eligible servers. */
  usableChains(plan: Plan): Chain[] {
    return plan.chains.filter(chain =>
      chain.stages.every(stage => this.isEligible(stage.server)),
    );
  }

  usableServers(plan: Plan, service: ServiceId): ServiceServer[] {
    const servers = plan.services[service] ?? [];
    return servers.filter(({server}) => this.isEligible(server));
  }

  /**
   * Registrations that the planner may use. `down` does not exclude a server,
   * because it is the view of a single process.
   */
  filterPlaceable(
    registrations: readonly ServerRegistration[],
  ): typeof registrations {
    return registrations.filter(({server}) => {
      const reason = this.ineligibilityReason(server);
      return reason === undefined || reason === 'down';
    });
  }
}
