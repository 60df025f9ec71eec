import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  EMPTY_PLAN,
  MembershipView,
  type HostId,
  type Plan,
  type ServerRegistration,
} from '../src/index.js';
import {createEngine} from './placement_fixtures.js';

const REGISTRATION = createEngine('s1');
const {server} = REGISTRATION;
const HOST = REGISTRATION.host as HostId;

function createView(changes: Partial<ServerRegistration> = {}): MembershipView {
  const view = new MembershipView();
  view.updateRegistrations([{...REGISTRATION, ...changes}]);
  return view;
}

const listed = (state: 'live' | 'leaving') => [
  {host: HOST, availabilityZone: 'z1', state},
];

describe('membership', () => {
  it('accepts a new host that is not in the host list yet', () => {
    const view = createView();
    view.updateHosts([]);
    expect(view.isEligible(server)).toEqual(true);
  });

  it('excludes a server if any source says that it is leaving', () => {
    const registered = createView({state: 'leaving'});
    expect(registered.ineligibilityReason(server)).toEqual(
      'registered_leaving',
    );
    const view = createView();
    view.updateHosts(listed('leaving'));
    expect(view.ineligibilityReason(server)).toEqual('host_leaving');
    view.updateHosts(listed('live'));
    view.recordLeaving(server);
    expect(view.ineligibilityReason(server)).toEqual('notice');
  });

  it('excludes a host that was removed from the host list', () => {
    const view = createView();
    view.updateHosts(listed('live'));
    view.updateHosts([]);
    expect(view.ineligibilityReason(server)).toEqual('host_gone');
  });

  it('keeps a notice against lagging registrations of the same run', () => {
    const view = createView();
    view.recordLeaving(server);
    view.updateRegistrations([REGISTRATION]);
    expect(view.isEligible(server)).toEqual(false);
  });

  it('drops a notice when a new instance of the server starts', () => {
    const byRegistration = createView();
    byRegistration.recordLeaving(server);
    byRegistration.updateRegistrations([{...REGISTRATION, instance: 'run-2'}]);
    expect(byRegistration.isEligible(server)).toEqual(true);
    const byHello = createView();
    byHello.recordLeaving(server);
    byHello.recordHello(server, 'run-2');
    expect(byHello.isEligible(server)).toEqual(true);
  });

  it('excludes chains with a server that is down, but still plans it', () => {
    const view = createView();
    const plan = {
      ...EMPTY_PLAN,
      chains: [{stages: [{server}]}],
    } as unknown as Plan;
    expect(view.usableChains(plan).length).toEqual(1);
    view.markDown(server);
    expect(view.usableChains(plan)).toEqual([]);
    expect(view.filterPlaceable([REGISTRATION])).toEqual([REGISTRATION]);
    view.markUp(server);
    expect(view.usableChains(plan).length).toEqual(1);
  });
});
