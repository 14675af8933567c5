import type * as http from "node:http";
import type * as net from "node:net";
import * as nodeServer from "@hono/node-server";
import * as sent from "@hono/node-server/utils/response";
import * as hono from "hono";
import * as faultsModule from "./faults.js";

const JOURNAL_LIMIT = 200_000;

/** What hono hands to a handler under Node.js. */
export interface Environment {
  Bindings: nodeServer.HttpBindings;
}

/** One entry of a journal: what was received and what came of it. */
export interface JournalEntry {
  readonly event: string;
  readonly [field: string]: unknown;
}

/** A stand-in that listens: its address, its journal and its switches. */
export interface RunningStandIn {
  readonly url: string;
  readonly port: number;
  readonly journal: readonly JournalEntry[];
  readonly faults: faultsModule.Faults;
  close(): Promise<void>;
}

/** Where a stand-in listens. */
export interface ListenOptions {
  readonly host?: string;
  /** 0 takes a free port. */
  readonly port?: number;
}

/** The frame shared by all stand-ins: fault switches, a journal and an HTTP server. */
export class StandIn {
  readonly app = new hono.Hono<Environment>();
  readonly faults = new faultsModule.Faults();
  readonly journal: JournalEntry[] = [];

  constructor() {
    this.app.post("/faults", async (context) => {
      this.faults.apply(await context.req.json());
      return context.json({ ok: true });
    });
    this.app.get("/journal", (context) => context.json(this.journal));
    this.app.use("*", (context, next) => this.#throughFaults(context, next));
  }

  /** @param entry - what to put on record */
  record(entry: JournalEntry): void {
    if (this.journal.length < JOURNAL_LIMIT) this.journal.push({ at: Date.now(), ...entry });
  }

  /**
   * @param options - host and port
   * @param onClose - run when the stand-in closes
   * @returns the listening stand-in
   */
  listen(options: ListenOptions, onClose: () => void = () => undefined): Promise<RunningStandIn> {
    return new Promise((resolve) => {
      const hostname = options.host ?? "127.0.0.1";
      const server = nodeServer.serve({ fetch: this.app.fetch, hostname, port: options.port ?? 0 }, (info) => {
        resolve({
          url: `http://${hostname}:${info.port}`,
          port: info.port,
          journal: this.journal,
          faults: this.faults,
          close: () => closeServer(server as http.Server, onClose),
        });
      });
      server.on("connection", (socket: net.Socket) => {
        this.faults.track(socket);
      });
    });
  }

  async #throughFaults(context: hono.Context<Environment>, next: hono.Next): Promise<Response | undefined> {
    const socket = context.env.incoming.socket;
    if (this.faults.down) {
      socket.destroy();
      return sent.RESPONSE_ALREADY_SENT;
    }
    if (this.faults.isSilenced(socket)) return neverAnswer();
    if (this.faults.slowMs > 0) await delay(this.faults.slowMs);
    await next();
    if (this.faults.isSilenced(socket)) return neverAnswer();
    return undefined;
  }
}

/**
 * @param milliseconds - how long to wait
 * @returns a promise that settles after that time
 */
export function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function neverAnswer(): Promise<Response> {
  return new Promise(() => undefined);
}

function closeServer(server: http.Server, onClose: () => void): Promise<void> {
  onClose();
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}
