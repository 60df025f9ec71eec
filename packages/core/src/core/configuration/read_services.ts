/** Reads the services of the operators' file. */
import type {ModelId, ServiceId} from '../ids/ids.js';
import {RANKS} from '../ids/rank.js';
import {
  SERVICE_DEFAULTS,
  type CallConfig,
  type ServiceConfig,
} from './operator_config.js';
import {hintForName} from './suggestions.js';
import {ProblemList, TableReader, type Table} from './table_reader.js';

const SERVICE_KEYS = [
  'kind',
  'model',
  'depends_on',
  'rank',
  'first_token_target_ms',
  'between_tokens_target_ms',
  'deadline_ms',
  'idempotent',
  'calls',
];
const CALL_KEYS = ['method', 'path', 'idempotent'];
const METHODS = [
  'GET',
  'HEAD',
  'OPTIONS',
  'POST',
  'PUT',
  'PATCH',
  'DELETE',
  '*',
] as const;
const KINDS = ['model', 'plain'] as const;
const POSITIVE_MS = {min: 1} as const;

export function readServices(
  tables: ReadonlyMap<string, Table>,
  models: readonly string[],
  list: ProblemList,
): Map<ServiceId, ServiceConfig> {
  const services = new Map<ServiceId, ServiceConfig>();
  const dependencyNames = [...new Set([...models, ...tables.keys()])];
  for (const [name, table] of tables) {
    const path = ['services', name];
    const reader = new TableReader(list, path, table, SERVICE_KEYS);
    const service = name as ServiceId;
    services.set(
      service,
      readService(service, reader, models, dependencyNames, list),
    );
  }
  return services;
}

function readService(
  service: ServiceId,
  reader: TableReader,
  models: readonly string[],
  dependencyNames: readonly string[],
  list: ProblemList,
): ServiceConfig {
  const kind = reader.oneOf('kind', KINDS);
  if (!reader.has('kind')) reader.reportMissing('kind', '"model" or "plain"');
  return {
    service,
    kind: kind ?? 'plain',
    model: readModelName(reader, kind, models),
    dependsOn: reader.names('depends_on', dependencyNames, 'model or service'),
    rank: reader.oneOf('rank', RANKS) ?? SERVICE_DEFAULTS.rank,
    ...readTimes(reader),
    idempotent: reader.boolean('idempotent') ?? false,
    calls: reader
      .tables('calls')
      .map((table, index) =>
        readCall(
          new TableReader(
            list,
            [...reader.path, 'calls', index],
            table,
            CALL_KEYS,
          ),
        ),
      ),
  };
}

function readTimes(reader: TableReader) {
  const firstTokenTargetMs =
    reader.number('first_token_target_ms', POSITIVE_MS) ??
    SERVICE_DEFAULTS.firstTokenTargetMs;
  const deadlineMs =
    reader.number('deadline_ms', POSITIVE_MS) ?? SERVICE_DEFAULTS.deadlineMs;
  if (firstTokenTargetMs > deadlineMs && reader.has('first_token_target_ms')) {
    reader.reportProblem(
      'first_token_target_ms',
      `${firstTokenTargetMs} is later than the deadline of ${deadlineMs}`,
      `at most deadline_ms, which is ${deadlineMs} milliseconds`,
    );
  }
  return {
    firstTokenTargetMs,
    betweenTokensTargetMs:
      reader.number('between_tokens_target_ms', POSITIVE_MS) ??
      SERVICE_DEFAULTS.betweenTokensTargetMs,
    deadlineMs,
  };
}

function readModelName(
  reader: TableReader,
  kind: 'model' | 'plain' | undefined,
  models: readonly string[],
): ModelId | undefined {
  if (kind === 'plain' && reader.has('model')) {
    reader.reportProblem(
      'model',
      'a plain service has no model',
      'remove the key or write kind = "model"',
    );
    return undefined;
  }
  if (kind === 'model' && !reader.has('model')) {
    reader.reportMissing(
      'model',
      `one of: ${models.join(', ') || 'no model yet'}`,
    );
    return undefined;
  }
  const model = reader.string('model');
  if (model === undefined || models.includes(model)) {
    return model as ModelId | undefined;
  }
  reader.reportProblem(
    'model',
    `unknown model "${model}"`,
    hintForName(model, models),
  );
  return undefined;
}

function readCall(reader: TableReader): CallConfig {
  const method = reader.oneOf('method', METHODS);
  if (!reader.has('method'))
    reader.reportMissing('method', '"GET", "POST" or "*"');
  const path = reader.requiredString('path');
  if (path !== '' && !/^\/[^?#]*$/.test(path)) {
    reader.reportProblem(
      'path',
      `"${path}" is not a path`,
      'a leading slash and no query, for example "/items/*"',
    );
  }
  if (!reader.has('idempotent'))
    reader.reportMissing('idempotent', 'true or false');
  const idempotent = reader.boolean('idempotent') ?? false;
  return {method: method ?? '*', path, idempotent};
}
