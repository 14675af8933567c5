import * as common from "@camphorcourse/common";
import * as bunyanModule from "bunyan";

const bunyan = bunyanModule.default;

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, common.Field>>;

/** Lines of one event that are written in a second; the rest is counted and told in the next. */
const LINES_PER_EVENT_AND_SECOND = 100;

/** Bytes that may wait for the reader of the log; beyond them lines are dropped and counted. */
const WAITING_BYTES = 262_144;

const SECOND_MS = 1_000;

interface EventCount {
  second: number;
  written: number;
  dropped: number;
}

/** Where the lines go: a stream that takes them without blocking. */
export interface LineSink {
  readonly writableLength: number;
  write(text: string): boolean;
}

/**
 * The daemon's log: one line of key=value pairs for each decision. Its volume is
 * bounded for each event, and a reader that doesn't keep up loses lines, which
 * are counted, instead of holding up requests.
 */
export class DecisionLog {
  readonly #logger: InstanceType<typeof bunyan>;
  readonly #sink: LineSink;
  readonly #counts = new Map<string, EventCount>();
  #droppedBySink = 0;

  /**
   * @param vm - the VM, part of each line
   * @param level - least level that is written
   * @param sink - takes the lines
   */
  constructor(vm: string, level: string, sink: LineSink) {
    this.#sink = sink;
    const stream = { write: (record: Record<string, unknown>) => this.#writeRecord(record) };
    this.#logger = bunyan.createLogger({
      name: "camphorcourse",
      vm,
      streams: [{ type: "raw", level: level as bunyanModule.LogLevelString, stream: stream as never }],
    });
  }

  /**
   * @param event - what happened, a fixed word
   * @param fields - what decided it, and the outcome
   */
  info(event: string, fields: LogFields): void {
    if (this.#admit(event)) this.#logger.info(fields, event);
  }

  /**
   * @param event - what went wrong, a fixed word
   * @param fields - what is known of it
   */
  warn(event: string, fields: LogFields): void {
    if (this.#admit(event)) this.#logger.warn(fields, event);
  }

  #admit(event: string): boolean {
    const second = Math.floor(performance.now() / SECOND_MS);
    let count = this.#counts.get(event);
    if (count === undefined) {
      count = { second, written: 0, dropped: 0 };
      this.#counts.set(event, count);
    }
    if (count.second !== second) {
      const dropped = count.dropped;
      count.second = second;
      count.written = 0;
      count.dropped = 0;
      if (dropped > 0) this.#logger.warn({ of: event, lines: dropped }, "log-lines-left-out");
    }
    if (count.written >= LINES_PER_EVENT_AND_SECOND) {
      count.dropped++;
      return false;
    }
    count.written++;
    return true;
  }

  #writeRecord(record: Record<string, unknown>): void {
    if (this.#sink.writableLength > WAITING_BYTES) {
      this.#droppedBySink++;
      return;
    }
    const { v, pid, hostname, name, level, msg, time, vm, ...rest } = record;
    void [v, pid, hostname, name];
    const fields: Record<string, common.Field> = {
      time: (time as Date).toISOString(),
      level: bunyan.nameFromLevel[level as number],
      vm: vm as string,
      event: msg as string,
      ...(rest as LogFields),
    };
    if (this.#droppedBySink > 0) fields.droppedBefore = this.#droppedBySink;
    this.#droppedBySink = 0;
    this.#sink.write(`${common.formatFields(fields)}\n`);
  }
}
