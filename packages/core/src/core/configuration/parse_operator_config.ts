/** Parses and validates the operators' file (TOML). */
import {parse, TomlError} from 'smol-toml';
import type {ModelId} from '../ids/ids.js';
import {findDependencyCycles} from './dependency_cycles.js';
import type {
  ModelConfig,
  OperatorConfig,
  ParsedConfig,
  ServiceConfig,
} from './operator_config.js';
import {readRanks} from './read_ranks.js';
import {readServices} from './read_services.js';
import {readWorkspaces} from './read_workspaces.js';
import {ProblemList, TableReader, isTable, type Table} from './table_reader.js';

const TOP_LEVEL_KEYS = [
  'revision',
  'models',
  'services',
  'ranks',
  'workspaces',
];
const MODEL_KEYS = [
  'version',
  'layers',
  'bytes_per_layer',
  'hidden_size',
  'context_tokens',
];
const POSITIVE_INTEGER = {min: 1, isInteger: true} as const;

/** @param file file name shown in problems. */
export function parseOperatorConfig(text: string, file: string): ParsedConfig {
  const list = new ProblemList(file, text);
  let table: Table;
  try {
    table = parse(text);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    reportSyntaxError(error, list);
    return {kind: 'invalid', problems: list.problems};
  }
  const config = readConfig(table, list);
  if (list.problems.length === 0) return {kind: 'valid', config};
  const problems = [...list.problems].sort((a, b) => a.line - b.line);
  return {kind: 'invalid', problems};
}

function reportSyntaxError(error: TomlError, list: ProblemList): void {
  const path = list.lines.pathAt(error.line);
  const first = list.lines.firstLineOfDuplicate(error.line);
  if (first !== undefined) {
    list.addAtLine(
      error.line,
      path,
      'duplicate key',
      `keep one of the two; the first is in line ${first}`,
    );
    return;
  }
  const message = error.message
    .split('\n')[0]
    .replace('Invalid TOML document: ', 'syntax error: ');
  const hint = `valid TOML at column ${error.column}; text needs quotes`;
  list.addAtLine(error.line, path, message, hint);
}

function readConfig(table: Table, list: ProblemList): OperatorConfig {
  const top = new TableReader(list, [], table, TOP_LEVEL_KEYS);
  const revision = top.requiredNumber('revision', {min: 0, isInteger: true});
  const models = readModels(readSection(table, 'models', list), list);
  const services = readServices(
    readSection(table, 'services', list),
    [...models.keys()],
    list,
  );
  reportCycles(services, models, list);
  const reservedPercent = readRanks(readSection(table, 'ranks', list), list);
  const {workspaces, workspacesByDigest} = readWorkspaces(
    readSection(table, 'workspaces', list),
    [...services.keys()],
    list,
  );
  return {
    revision,
    models,
    services,
    reservedPercent,
    workspaces,
    workspacesByDigest,
  };
}

/** Returns the tables of a section by name; reports values that are not tables. */
function readSection(
  table: Table,
  name: string,
  list: ProblemList,
): Map<string, Table> {
  const value = Object.hasOwn(table, name) ? table[name] : {};
  const tables = new Map<string, Table>();
  if (!isTable(value)) {
    list.add([name], 'expected tables', `[${name}.NAME]`);
    return tables;
  }
  for (const [key, item] of Object.entries(value)) {
    if (isTable(item)) tables.set(key, item);
    else list.add([name, key], 'expected a table', `[${name}.${key}]`);
  }
  return tables;
}

function readModels(
  tables: ReadonlyMap<string, Table>,
  list: ProblemList,
): Map<ModelId, ModelConfig> {
  const models = new Map<ModelId, ModelConfig>();
  for (const [name, table] of tables) {
    const reader = new TableReader(list, ['models', name], table, MODEL_KEYS);
    const model = name as ModelId;
    models.set(model, {
      model,
      version: reader.requiredString('version'),
      layers: reader.requiredNumber('layers', POSITIVE_INTEGER),
      bytesPerLayer: reader.requiredNumber('bytes_per_layer', POSITIVE_INTEGER),
      hiddenSize: reader.number('hidden_size', POSITIVE_INTEGER),
      contextTokens: reader.number('context_tokens', POSITIVE_INTEGER),
    });
  }
  return models;
}

function reportCycles(
  services: ReadonlyMap<string, ServiceConfig>,
  models: ReadonlyMap<string, ModelConfig>,
  list: ProblemList,
): void {
  for (const cycle of findDependencyCycles(services, models)) {
    list.add(
      ['services', cycle[0], 'depends_on'],
      `circular dependency: ${[...cycle, cycle[0]].join(' -> ')}`,
      `remove one of these names from its depends_on: ${cycle.join(', ')}`,
    );
  }
}
