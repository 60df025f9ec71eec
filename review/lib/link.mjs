/** A TCP forwarder in front of a process, with faults of its channels. */
import {connect, createServer} from 'node:net';

export class Link {
  /** @param targetPort port of the process on 127.0.0.1 */
  constructor(targetPort) {
    this.targetPort = targetPort;
    this.channels = new Set();
    this.server = createServer({allowHalfOpen: true}, near =>
      this.forward(near),
    );
  }

  /** Returns the port on which it listens. */
  async start() {
    await new Promise(done => this.server.listen(0, '127.0.0.1', done));
    return this.server.address().port;
  }

  stop() {
    this.server.close();
    for (const {near, far} of this.channels) {
      near.destroy();
      far.destroy();
    }
  }

  /** Open channels pass nothing on from now on and stay open; new ones work. */
  silenceOpen() {
    for (const channel of this.channels) channel.isSilent = true;
    return this.channels.size;
  }

  /** Resets a share of the open channels; returns how many. */
  resetOpen(share) {
    let count = 0;
    for (const {near, far} of [...this.channels]) {
      if (Math.random() >= share) continue;
      near.resetAndDestroy();
      far.resetAndDestroy();
      count++;
    }
    return count;
  }

  forward(near) {
    const far = connect({
      port: this.targetPort,
      host: '127.0.0.1',
      allowHalfOpen: true,
    });
    const channel = {near, far, isSilent: false};
    this.channels.add(channel);
    const pass = (from, to) => {
      from.setNoDelay(true);
      from.on('data', data => channel.isSilent || to.write(data));
      from.on('end', () => channel.isSilent || to.end());
      from.on('error', () => channel.isSilent || to.destroy());
      from.on('close', () => {
        if (!channel.isSilent) to.destroy();
        if (near.destroyed && far.destroyed) this.channels.delete(channel);
      });
    };
    pass(near, far);
    pass(far, near);
  }
}
