/**
 * Command that runs one stand-in as a separate process:
 * `main.js KIND OPTIONS_JSON`. Prints `{"ready": URL}` on standard output once
 * the server is listening.
 */
import {
  EngineStandin,
  type EngineStandinOptions,
} from '../engine/engine_standin.js';
import {HostListStandin} from '../hosts/host_list_standin.js';
import type {StandinServer} from '../http/standin_server.js';
import {KeyValueStandin} from '../key_value/key_value_standin.js';
import {PlainServiceStandin} from '../service/plain_service_standin.js';
import {WeightStoreStandin} from '../weights/weight_store_standin.js';

interface StandinOptions extends Partial<EngineStandinOptions> {
  readonly port?: number;
  readonly lagMs?: number;
  readonly callMs?: number;
  readonly bytesPerSecond?: number;
  readonly bytesPerLayer?: number;
}

const DEFAULT_BYTES_PER_SECOND = 10_000_000_000;
const DEFAULT_BYTES_PER_LAYER = 100_000_000;

function createStandin(kind: string, options: StandinOptions): StandinServer {
  switch (kind) {
    case 'key-value':
      return new KeyValueStandin();
    case 'hosts':
      return new HostListStandin(options.lagMs);
    case 'weights':
      return new WeightStoreStandin(
        options.bytesPerSecond ?? DEFAULT_BYTES_PER_SECOND,
        options.bytesPerLayer ?? DEFAULT_BYTES_PER_LAYER,
      );
    case 'engine':
      return new EngineStandin(options as EngineStandinOptions);
    case 'service':
      return new PlainServiceStandin(options.callMs);
    default:
      throw new Error(
        `unknown kind of stand-in '${kind}': use key-value, hosts, weights, engine or service`,
      );
  }
}

const [kind = '', optionsJson = '{}'] = process.argv.slice(2);
const options = JSON.parse(optionsJson) as StandinOptions;
const standin = await createStandin(kind, options).start(options.port);
process.stdout.write(JSON.stringify({ready: standin.url}) + '\n');
