import * as serving from "@camphorcourse/serving";
import type * as metricsModule from "../metrics.js";

/** What the bytes belong to. */
export enum Traffic {
  Heartbeats = "heartbeat",
  Requests = "request",
}

const WAY_NAMES: Readonly<Record<serving.Way, string>> = {
  [serving.Way.DataCentre]: "data_centre",
  [serving.Way.Region]: "region",
  [serving.Way.Remote]: "remote",
};

/** Counts the bytes sent to the own data centre, the own region and other regions. */
export class TrafficCounter {
  readonly #distances: serving.DistanceModel | undefined;
  readonly #metrics: metricsModule.Metrics;

  /**
   * @param distances - the distances; undefined in a deployment of one region, where nothing is counted
   * @param metrics - gets the counts
   */
  constructor(distances: serving.DistanceModel | undefined, metrics: metricsModule.Metrics) {
    this.#distances = distances;
    this.#metrics = metrics;
  }

  /**
   * @param traffic - what the bytes belong to
   * @param dataCentre - where they are sent
   * @param bytes - their number
   */
  add(traffic: Traffic, dataCentre: string, bytes: number): void {
    if (this.#distances === undefined) return;
    this.#metrics.count(`${traffic}_bytes_${WAY_NAMES[this.#distances.wayTo(dataCentre)]}`, bytes);
  }

  /** Counts a heartbeat of another region that was forwarded. */
  noteForwarded(): void {
    this.#metrics.count("heartbeats_forwarded");
  }

  /** Counts a forwarded heartbeat that arrived after a later one of its sender. */
  noteOutdated(): void {
    this.#metrics.count("forwarded_heartbeats_outdated");
  }
}
