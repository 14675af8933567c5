import * as serving from "@camphorcourse/serving";

/** Interval at which the offset is determined anew, in milliseconds. */
const OFFSET_INTERVAL_MS = 250;

/** True time, from the wall clocks of this VM and of the live peers: that of one VM may step by seconds. */
export class TrueClock {
  readonly #peerOffsets: () => readonly number[];
  #offsetMs = 0;
  #determinedAt: number | undefined;

  /** @param peerOffsets - Unix time minus monotonic time of this daemon, by the clock of each live peer, in milliseconds */
  constructor(peerOffsets: () => readonly number[]) {
    this.#peerOffsets = peerOffsets;
  }

  /** @returns current true time, in Unix milliseconds */
  unixMs(): number {
    const now = performance.now();
    if (this.#determinedAt === undefined || now - this.#determinedAt >= OFFSET_INTERVAL_MS) {
      this.#determinedAt = now;
      const own = Date.now() - now;
      this.#offsetMs = serving.medianOffset([...this.#peerOffsets(), own]) ?? own;
    }
    return now + this.#offsetMs;
  }
}
