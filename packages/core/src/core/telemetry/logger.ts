/** Logger that writes one JSON object per line, based on loglevel. */
import log, {type LogLevelDesc, type Logger as LevelLogger} from 'loglevel';

/** Common fields of log lines; others may be added. */
export interface LogFields {
  readonly request?: string;
  readonly workspace?: string;
  readonly rank?: string;
  readonly step?: string;
  readonly peer?: string;
  readonly [field: string]: unknown;
}

export class Logger {
  private readonly logger: LevelLogger;

  constructor(
    node: string,
    level: LogLevelDesc,
    write: (line: string) => void = line => process.stderr.write(line + '\n'),
  ) {
    this.logger = log.getLogger(`azurecrank.${node}`);
    this.logger.methodFactory = methodName => (message: string, fields) => {
      const time = new Date().toISOString();
      const line = {time, level: methodName, node, message, ...fields};
      write(JSON.stringify(line));
    };
    this.logger.setLevel(level, false);
  }

  debug(message: string, fields: LogFields = {}): void {
    this.logger.debug(message, fields);
  }

  info(message: string, fields: LogFields = {}): void {
    this.logger.info(message, fields);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.logger.warn(message, fields);
  }

  error(message: string, fields: LogFields = {}): void {
    this.logger.error(message, fields);
  }
}
