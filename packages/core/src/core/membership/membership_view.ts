/** Merges host list, registrations, plan and the peers' own notices. */
import type {HostId, ServerId, ServiceId} from '../ids/ids.js';
import type {
  Plan,
  ServerRegistration,
  ServiceServer,
} from '../placement/plan.js';
import type {ListedHost} from '../platform/host_list.js';
import type {Chain} from '../wire/messages.js';

export type Ineligibility =
  /** The server's own notice or refusal said that it is leaving. */
  | 'notice'
  /** Its registration says so. */
  | 'registered_leaving'
  /** The host list marks its host as leaving. */
  | 'host_leaving'
  /** Its host was in the host list and is no longer. */
  | 'host_gone'
  /** The connection to it was declared down. */
  | 'down';

interface Notice {
  /** Run of the side process that sent the notice, if known. */
  readonly instance: string;
}

/**
 * Sources are combined pessimistically: one that says a server is leaving is
 * enough, because the lagging ones still list a server that has left. Absence
 * from the host list counts only after presence, because new hosts appear
 * there late.
 */
export class MembershipView {
  private readonly notices = new Map<ServerId, Notice>();
  private readonly instances = new Map<ServerId, string>();
  private readonly down = new Set<ServerId>();
  private registrations = new Map<ServerId, ServerRegistration>();
  private hosts = new Map<HostId, ListedHost['state']>();
  private readonly everListed = new Set<HostId>();

  /** Takes a complete host list; a failed read must not be passed on. */
  updateHosts(listed: readonly ListedHost[]): void {
    this.hosts = new Map(listed.map(({host, state}) => [host, state]));
    for (const {host} of listed) this.everListed.add(host);
  }

  updateRegistrations(registrations: readonly ServerRegistration[]): void {
    this.registrations = new Map(registrations.map(r => [r.server, r]));
    for (const {server, instance, state} of registrations) {
      const isOldRun = this.notices.get(server)?.instance !== instance;
      if (isOldRun && state === 'live') this.notices.delete(server);
    }
  }

  /** Notes `leaving`, as a notice or as the reason of a refusal. */
  noteLeaving(server: ServerId): void {
    const registered = this.registrations.get(server)?.instance;
    const instance = this.instances.get(server) ?? registered ?? '';
    this.notices.set(server, {instance});
  }

  /** Notes a greeting; a new run of the server voids the old one's notice. */
  noteHello(server: ServerId, instance: string): void {
    this.down.delete(server);
    if (this.instances.get(server) === instance) return;
    this.instances.set(server, instance);
    if (this.notices.get(server)?.instance !== instance) {
      this.notices.delete(server);
    }
  }

  noteDown(server: ServerId): void {
    this.down.add(server);
  }

  noteUp(server: ServerId): void {
    this.down.delete(server);
  }

  /** Returns why a server gets no new work; undefined if it may. */
  ineligibility(server: ServerId): Ineligibility | undefined {
    if (this.notices.has(server)) return 'notice';
    const registration = this.registrations.get(server);
    if (registration?.state === 'leaving') return 'registered_leaving';
    if (registration) {
      const host = registration.host as HostId;
      const listed = this.hosts.get(host);
      if (listed === 'leaving') return 'host_leaving';
      if (!listed && this.everListed.has(host)) return 'host_gone';
    }
    return this.down.has(server) ? 'down' : undefined;
  }

  mayGetNewWork(server: ServerId): boolean {
    return this.ineligibility(server) === undefined;
  }

  /** Chains of the plan all of whose servers may get new work. */
  usableChains(plan: Plan): Chain[] {
    return plan.chains.filter(chain =>
      chain.stages.every(stage => this.mayGetNewWork(stage.server)),
    );
  }

  usableServers(plan: Plan, service: ServiceId): ServiceServer[] {
    const servers = plan.services[service] ?? [];
    return servers.filter(({server}) => this.mayGetNewWork(server));
  }

  /** Registrations that the planner may use; `down` is one process's view. */
  placeable(
    registrations: readonly ServerRegistration[],
  ): typeof registrations {
    return registrations.filter(({server}) => {
      const reason = this.ineligibility(server);
      return reason === undefined || reason === 'down';
    });
  }
}
