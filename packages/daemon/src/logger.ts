import * as common from "@camphorcourse/common";
import * as bunyanModule from "bunyan";

const bunyan = bunyanModule.default;
const HIDDEN = new Set(["v", "pid", "hostname", "name", "level", "msg", "time"]);

/** Writes bunyan's records as one line of key=value pairs each. */
class KeyValueLineStream {
  readonly #write: (line: string) => void;

  constructor(write: (line: string) => void) {
    this.#write = write;
  }

  write(record: Record<string, unknown>): void {
    const fields: Record<string, common.Field> = {
      time: (record.time as Date).toISOString(),
      level: bunyan.nameFromLevel[record.level as number],
      event: record.msg as string,
    };
    for (const [name, value] of Object.entries(record)) {
      if (!HIDDEN.has(name)) fields[name] = value as common.Field;
    }
    this.#write(`${common.formatFields(fields)}\n`);
  }
}

/** The daemon's log. */
export type Logger = InstanceType<typeof bunyan>;

/**
 * @param vm - the VM, part of each line
 * @param level - least level that is written
 * @param write - takes the lines
 * @returns the log
 */
export function createLogger(vm: string, level: bunyanModule.LogLevelString, write: (line: string) => void): Logger {
  const stream = new KeyValueLineStream(write);
  return bunyan.createLogger({ name: "camphorcourse", vm, streams: [{ type: "raw", level, stream: stream as never }] });
}
