import * as common from "@camphorcourse/common";
import * as bunyanModule from "bunyan";

const bunyan = bunyanModule.default;

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, common.Field>>;

/** Maximum number of lines of one event per second; further lines are dropped, and their number is logged later. */
const MAX_LINES_PER_EVENT_AND_SECOND = 100;

/** Maximum number of bytes buffered for the reader of the log; beyond it, lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 262_144;

const SECOND_MS = 1_000;

/** Lines of one event within one second. */
interface EventCount {
  second: number;
  written: number;
  dropped: number;
}

/** Destination of the log lines: a stream that accepts them without blocking. */
export interface LineSink {
  readonly writableLength: number;
  write(text: string): boolean;
}

/**
 * The log of a daemon: one line of key=value pairs for each decision. The number of lines per event is limited. If the
 * reader of the log is too slow, lines are dropped and counted instead of delaying requests.
 */
export class DecisionLog {
  readonly #logger: InstanceType<typeof bunyan>;
  readonly #sink: LineSink;
  readonly #counts = new Map<string, EventCount>();
  #droppedBySink = 0;

  /**
   * @param vm - name of the VM, part of each line
   * @param level - minimum level that is written
   * @param sink - destination of the lines
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
   * @param event - name of the event
   * @param fields - the inputs of the decision, and its outcome
   */
  info(event: string, fields: LogFields): void {
    if (this.#admitLine(event)) this.#logger.info(fields, event);
  }

  /**
   * @param event - name of the event, for something that went wrong
   * @param fields - details of the problem
   */
  warn(event: string, fields: LogFields): void {
    if (this.#admitLine(event)) this.#logger.warn(fields, event);
  }

  /** @returns whether one more line of the event is within the limit for this second; otherwise it counts as dropped */
  #admitLine(event: string): boolean {
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
    if (count.written >= MAX_LINES_PER_EVENT_AND_SECOND) {
      count.dropped++;
      return false;
    }
    count.written++;
    return true;
  }

  #writeRecord(record: Record<string, unknown>): void {
    if (this.#sink.writableLength > MAX_BUFFERED_BYTES) {
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
