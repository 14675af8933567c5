import * as common from "@camphorcourse/common";
import * as bunyanModule from "bunyan";

const bunyan = bunyanModule.default;

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, common.Field>>;

/** Maximum number of lines of one event per second; further lines are dropped, and their number is logged later. */
const MAX_LINES_PER_EVENT_AND_SECOND = 100;

/**
 * Lower limits of single events. One endpoint that crashes makes a suspect of each request that ran there, and every daemon
 * logs each suspect: when 14 to 20 engines ended, 16 daemons wrote 2,079 lines in four seconds. Info and warning lines are
 * counted apart, so that first suspicions don't displace the line of a request that is isolated or rejected.
 */
const MAX_LINES_BY_EVENT: ReadonlyMap<string, number> = new Map([["suspect", 10]]);

/** Maximum number of bytes buffered for the reader of the log; beyond it, lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 262_144;

const SECOND_MS = 1_000;

/** Lines of one event and level within one second. */
interface EventCount {
  readonly event: string;
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
  readonly #now: () => number;
  /** Counts of the current second, by event and, where an event has a limit of its own, by level. */
  readonly #counts = new Map<string, EventCount>();
  #second = 0;
  #droppedBySink = 0;

  /**
   * @param vm - name of the VM, part of each line
   * @param level - minimum level that is written
   * @param sink - destination of the lines
   * @param now - monotonic clock in milliseconds
   */
  constructor(vm: string, level: string, sink: LineSink, now = (): number => performance.now()) {
    this.#sink = sink;
    this.#now = now;
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
    if (this.#admitLine(event, "info")) this.#logger.info(fields, event);
  }

  /**
   * @param event - name of the event, for something that went wrong
   * @param fields - details of the problem
   */
  warn(event: string, fields: LogFields): void {
    if (this.#admitLine(event, "warn")) this.#logger.warn(fields, event);
  }

  /** @returns whether one more line of the event is within the limit for this second; otherwise it counts as dropped */
  #admitLine(event: string, level: "info" | "warn"): boolean {
    const second = Math.floor(this.#now() / SECOND_MS);
    if (second !== this.#second) this.#reportDropped(second);
    const ownLimit = MAX_LINES_BY_EVENT.get(event);
    const key = ownLimit === undefined ? event : `${event} ${level}`;
    let count = this.#counts.get(key);
    if (count === undefined) {
      count = { event, written: 0, dropped: 0 };
      this.#counts.set(key, count);
    }
    if (count.written >= (ownLimit ?? MAX_LINES_PER_EVENT_AND_SECOND)) {
      count.dropped++;
      return false;
    }
    count.written++;
    return true;
  }

  /** Logs what was left out in the last second that had lines; the first line of any event in a later second causes it. */
  #reportDropped(second: number): void {
    this.#second = second;
    const dropped = new Map<string, number>();
    for (const count of this.#counts.values()) {
      if (count.dropped > 0) dropped.set(count.event, (dropped.get(count.event) ?? 0) + count.dropped);
      count.written = 0;
      count.dropped = 0;
    }
    for (const [of, lines] of dropped) this.#logger.warn({ of, lines }, "log-lines-left-out");
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
