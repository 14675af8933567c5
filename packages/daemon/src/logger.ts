import * as common from "@camphorcourse/common";
import * as bunyanModule from "bunyan";

const bunyan = bunyanModule.default;
const NON_FIELD_PROPERTIES = new Set(["v", "pid", "hostname", "name", "level", "msg", "time"]);

/** Writes each bunyan record as one line of key=value pairs. */
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
      if (!NON_FIELD_PROPERTIES.has(name)) fields[name] = value as common.Field;
    }
    this.#write(`${common.formatFields(fields)}\n`);
  }
}

/** Logger of the daemon. */
export type Logger = InstanceType<typeof bunyan>;

/**
 * Creates the daemon's logger.
 *
 * @param vm - name of the VM, written in each line
 * @param level - minimum level that is written
 * @param write - writes a line
 * @returns the logger
 */
export function createLogger(vm: string, level: bunyanModule.LogLevelString, write: (line: string) => void): Logger {
  const stream = new KeyValueLineStream(write);
  return bunyan.createLogger({ name: "camphorcourse", vm, streams: [{ type: "raw", level, stream: stream as never }] });
}
