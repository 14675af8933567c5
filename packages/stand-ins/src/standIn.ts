import type * as http from "node:http";
import type * as net from "node:net";
import * as nodeServer from "@hono/node-server";
import * as nodeResponse from "@hono/node-server/utils/response";
import * as hono from "hono";
import * as faultsModule from "./faults.js";

/** Further entries are discarded. */
const MAX_JOURNAL_ENTRIES = 200_000;

/** The hono environment of a handler that runs under Node.js. */
export interface Environment {
  Bindings: nodeServer.HttpBindings;
}

/** An entry of the journal: an event, such as a received request or its result, and its fields. */
export interface JournalEntry {
  readonly event: string;
  readonly [field: string]: unknown;
}

/** A listening stand-in: its address, its journal and its fault switches. */
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
  /** 0 selects a free port. */
  readonly port?: number;
}

/** Base class of all stand-ins: an HTTP server with fault switches and a journal. */
export class StandIn {
  readonly app = new hono.Hono<Environment>();
  readonly faults = new faultsModule.Faults();
  readonly journal: JournalEntry[] = [];

  constructor() {
    // Registered before the fault middleware, which therefore does not apply to these two routes.
    this.app.post("/faults", async (context) => {
      this.faults.apply(await context.req.json());
      return context.json({ ok: true });
    });
    this.app.get("/journal", (context) => context.json(this.journal));
    this.app.use("*", (context, next) => this.#applyFaults(context, next));
  }

  /**
   * Appends an entry with the current time to the journal.
   *
   * @param entry - the entry
   */
  record(entry: JournalEntry): void {
    if (this.journal.length < MAX_JOURNAL_ENTRIES) this.journal.push({ at: Date.now(), ...entry });
  }

  /**
   * Starts the HTTP server.
   *
   * @param options - host and port
   * @param onClose - called when the stand-in closes
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

  async #applyFaults(context: hono.Context<Environment>, next: hono.Next): Promise<Response | undefined> {
    const socket = context.env.incoming.socket;
    if (this.faults.down) {
      socket.destroy();
      return nodeResponse.RESPONSE_ALREADY_SENT;
    }
    if (this.faults.isSilenced(socket)) return neverRespond();
    if (this.faults.slowMs > 0) await delay(this.faults.slowMs);
    await next();
    if (this.faults.isSilenced(socket)) return neverRespond();
    return undefined;
  }
}

/**
 * @param milliseconds - the duration
 * @returns a promise that resolves after that time
 */
export function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function neverRespond(): Promise<Response> {
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
