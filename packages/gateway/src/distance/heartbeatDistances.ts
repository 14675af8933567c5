import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";

/** Measures distances by the heartbeats that are exchanged with other data centres. */
export class HeartbeatDistances {
  readonly #distances: serving.DistanceModel | undefined;
  readonly #meter: serving.DistanceMeter | undefined;
  readonly #log: decisionLogs.DecisionLog;

  /**
   * @param own - VM of this daemon
   * @param distances - gets the measured distances; undefined in a deployment of one region, where nothing is measured
   * @param log - gets a line when a distance changes by half or more
   */
  constructor(own: string, distances: serving.DistanceModel | undefined, log: decisionLogs.DecisionLog) {
    this.#distances = distances;
    this.#meter = distances === undefined ? undefined : new serving.DistanceMeter(own, distances);
    this.#log = log;
  }

  /**
   * @param dataCentre - a data centre
   * @returns whether it is in another region
   */
  isDistant(dataCentre: string): boolean {
    return this.#distances?.wayTo(dataCentre) === serving.Way.Remote;
  }

  /**
   * @param unixMs - Unix time in a heartbeat that is sent now, in milliseconds
   * @param now - current time by the monotonic clock, in milliseconds
   */
  noteSent(unixMs: number, now: number): void {
    this.#meter?.noteSent(unixMs, now);
    for (const { dataCentre, fromMs, toMs } of this.#meter?.update(now) ?? [])
      this.#log.info("distance", { dataCentre, fromMs: fromMs.toFixed(1), toMs: toMs.toFixed(1) });
  }

  /**
   * @param toDistant - whether the next heartbeat goes to other regions, or within the own one
   * @param now - current time in milliseconds
   * @returns the echoes for it
   */
  takeEchoes(toDistant: boolean, now: number): messages.HeartbeatEcho[] {
    const echoes = this.#meter?.takeEchoes((dataCentre) => this.isDistant(dataCentre) === toDistant, now) ?? [];
    return echoes.map(({ unixMs, ...echo }) =>
      protobuf.create(messages.HeartbeatEchoSchema, { ...echo, unixMs: BigInt(unixMs) }),
    );
  }

  /**
   * @param pulse - a received heartbeat
   * @param now - time at which it was received, in milliseconds
   */
  apply(pulse: messages.Pulse, now: number): void {
    if (this.#meter === undefined) return;
    const meter = this.#meter;
    const impossible = pulse.echoes.filter(({ vm, unixMs, heldMs }) => {
      const verdict = meter.noteEcho(pulse.dataCentre, { vm, unixMs: Number(unixMs), heldMs }, now);
      return verdict === serving.EchoVerdict.Impossible;
    });
    const [first] = impossible;
    if (first !== undefined)
      this.#log.warn("impossible-echo", { peer: pulse.vm, echoes: impossible.length, heldMs: first.heldMs });
    meter.noteReceived(pulse.dataCentre, pulse.vm, Number(pulse.unixMs), now);
  }
}
