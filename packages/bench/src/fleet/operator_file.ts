/** Generates operators' files for fleets. */
import {digestOfKey, type Rank} from '@azurecrank/core';

export interface OperatorFileOptions {
  readonly revision?: number;
  readonly model: string;
  readonly layers: number;
  /** Rank of each model service, by name. */
  readonly modelServices: Readonly<Record<string, Rank>>;
  /** Weight of each workspace, by name; the name is also its bearer key. */
  readonly workspaces: Readonly<Record<string, number>>;
  readonly deadlineMs?: number;
  readonly plainServices?: readonly string[];
}

const DEFAULT_DEADLINE_MS = 30_000;

export function writeOperatorFile(options: OperatorFileOptions): string {
  const {
    revision = 0,
    model,
    layers,
    deadlineMs = DEFAULT_DEADLINE_MS,
  } = options;
  const modelTable =
    `[models.${model}]\nversion = "1"\nlayers = ${layers}\n` +
    'bytes_per_layer = 100_000_000\n';
  const modelServices = Object.entries(options.modelServices).map(
    ([name, rank]) =>
      `[services.${name}]\nkind = "model"\nmodel = "${model}"\n` +
      `depends_on = ["${model}"]\nrank = "${rank}"\n` +
      `first_token_target_ms = 960\ndeadline_ms = ${deadlineMs}\n`,
  );
  const plainServices = (options.plainServices ?? []).map(
    name =>
      `[services.${name}]\nkind = "plain"\nrank = "ordinary"\n` +
      'deadline_ms = 5000\n\n' +
      `[[services.${name}.calls]]\nmethod = "GET"\npath = "/*"\n` +
      'idempotent = true\n',
  );
  const workspaces = Object.entries(options.workspaces).map(
    ([name, weight]) =>
      `[workspaces.${name}]\nweight = ${weight}\n` +
      `api_key_sha256 = ["${digestOfKey(name)}"]\n`,
  );
  return [
    `revision = ${revision}\n`,
    modelTable,
    ...modelServices,
    ...plainServices,
    ...workspaces,
  ].join('\n');
}
