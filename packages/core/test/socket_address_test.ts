import {describe, it} from 'node:test';
import {
  PeerNode,
  isIpSocketAddress,
  isSocketAddress,
  type ConfigVersion,
  type InstanceId,
  type PeerAddress,
  type PlanVersion,
} from '@azurecrank/core';
import {expect} from 'earl';

describe('socket addresses', () => {
  const ipAddresses = ['10.0.0.1:1', '10.0.0.1:65535', '[::1]:80'];
  const otherAddresses = ['localhost:80', 'entry-1.example:8080', '::1:80'];
  const invalid = [
    '',
    ':80',
    '10.0.0.1',
    '10.0.0.1:',
    '10.0.0.1:0',
    '10.0.0.1:065',
    '10.0.0.1:65536',
    '10.0.0.1:1e3',
    '10.0.0.1:-1',
    '10.0.0.1:80 ',
    '10.0.0.1 :80',
    '10.0.0.1:80\r\nx: y',
    '1.2.3.4:80@10.0.0.1:90',
    'host/path:1',
    'host?a:1',
    'host#a:1',
    `${'a'.repeat(300)}:80`,
  ];

  it('may name a host', () => {
    for (const address of [...ipAddresses, ...otherAddresses])
      expect(isSocketAddress(address)).toEqual(true);
    for (const address of invalid)
      expect(isSocketAddress(address)).toEqual(false);
  });

  it('can be restricted to IP addresses', () => {
    for (const address of ipAddresses)
      expect(isIpSocketAddress(address)).toEqual(true);
    for (const address of [...otherAddresses, ...invalid])
      expect(isIpSocketAddress(address)).toEqual(false);
  });

  // Guards against an exception in the timer that sends to all peers, which
  // ends the process.
  it('of a peer are reported as down if they are invalid', async () => {
    const down = new Map<string, () => void>();
    const versions = {
      configVersion: 0 as ConfigVersion,
      planVersion: 0 as PlanVersion,
    };
    using peers = new PeerNode(
      {
        node: 'a',
        instance: 'a' as InstanceId,
        role: 'entry',
        availabilityZone: 'a',
      },
      {
        versions: () => versions,
        onMessage: () => {},
        onPeerDown: address => down.get(address)?.(),
      },
    );
    for (const address of ['127.0.0.1:65536', '127.0.0.1:-1', '127.0.0.1']) {
      const isDown = new Promise<void>(resolve => down.set(address, resolve));
      peers.link(address as PeerAddress);
      await isDown;
    }
  });
});
