import * as serving from "@camphorcourse/serving";
import type * as callerListeners from "../callerListener.js";
import type * as decisionLogs from "../decisionLog.js";
import type * as dutiesModule from "../duties/duties.js";
import type * as pathMonitors from "../paths/pathMonitor.js";
import type * as relayServers from "../paths/relayServer.js";
import type * as peerLinks from "../peerLink.js";
import type * as registrations from "../registration.js";
import type * as storeFollowers from "../storeFollower.js";
import type * as streamOrigins from "../streams/streamOrigins.js";
import type * as crashProtections from "../suspects/crashProtection.js";
import type * as loopMonitors from "./loopMonitor.js";

/**
 * Interval at which a stopping daemon checks its progress, in milliseconds. After a pause of the process it waits for
 * one check.
 */
const STOP_CHECK_MS = 25;

/** Time for sending the last answers, in milliseconds: a third of the time that remains until the process is killed. */
const LAST_ANSWERS_MS = 200;

/** What a stopping daemon ends, in the order that {@link ShutdownSequence} gives. */
export interface ShutdownParts {
  readonly log: decisionLogs.DecisionLog;
  /** Time from the signal until the process is killed, in milliseconds. */
  readonly graceMs: number;
  readonly listener: callerListeners.CallerListener;
  readonly peers: peerLinks.PeerLink;
  readonly registration: registrations.Registration;
  readonly duties: dutiesModule.Duties;
  readonly streams: streamOrigins.StreamOrigins;
  readonly follower: storeFollowers.StoreFollower;
  readonly protection: crashProtections.CrashProtection;
  readonly monitor: pathMonitors.PathMonitor;
  readonly relayServer: relayServers.RelayServer;
  readonly loop: loopMonitors.LoopMonitor;
}

/**
 * Shuts a daemon down gracefully: callers are directed to other daemons, running requests are finished, and callers that
 * still connect are served until they have learnt of the shutdown.
 */
export class ShutdownSequence {
  readonly #parts: ShutdownParts;

  /** @param parts - what is ended */
  constructor(parts: ShutdownParts) {
    this.#parts = parts;
  }

  /** Runs the shutdown; it is called once. */
  async run(): Promise<void> {
    const { duties, follower, listener, log, loop, monitor, peers, protection, registration, streams } = this.#parts;
    const receivedAt = performance.now();
    const earliestSignalAt = loop.earliestSignalAt();
    const shutdown = new serving.GracefulShutdown({ earliestSignalAt, receivedAt, graceMs: this.#parts.graceMs });
    const heardLateMs = Math.round(receivedAt - earliestSignalAt);
    log.info("stop", { open: listener.openRequests, heardLateMs });
    listener.beginShutdown(shutdown);
    peers.sendHeartbeatsNow();
    void registration.end();
    duties.release();
    await this.#waitUntilServed(shutdown);
    // Callers whose streams break now take them up elsewhere.
    streams.handOn();
    listener.endOpen();
    const recorded = duties.recordUsage();
    await this.#waitForAnswers(performance.now() + LAST_ANSWERS_MS);
    await Promise.race([recorded, new Promise((resolve) => setTimeout(resolve, LAST_ANSWERS_MS))]);
    listener.close();
    follower.stop();
    protection.stop();
    monitor.stop();
    peers.stop();
    loop.stop();
    log.info("stopped", { open: listener.openRequests, tookMs: Math.round(performance.now() - receivedAt) });
  }

  async #waitUntilServed(shutdown: serving.GracefulShutdown): Promise<void> {
    const { listener, relayServer } = this.#parts;
    const isDone = (): boolean => {
      const now = performance.now();
      const isServed = shutdown.step(listener, now);
      return isServed && (relayServer.open === 0 || shutdown.isTimeUp(now));
    };
    while (!isDone()) {
      await new Promise((resolve) => setTimeout(resolve, STOP_CHECK_MS));
    }
  }

  async #waitForAnswers(latestAt: number): Promise<void> {
    const { listener } = this.#parts;
    while (listener.openRequests > 0 && performance.now() < latestAt) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}
