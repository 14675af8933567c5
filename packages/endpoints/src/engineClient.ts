import * as platform from "@camphorcourse/fleet-state";
import * as eventsource from "eventsource-parser";
import * as zod from "zod";

/** One chunk of a streamed completion. */
export interface StreamChunk {
  readonly index: number;
  readonly content: string;
  /** The event's data as the engine sent it. */
  readonly data: string;
}

/** Why a stream ended. */
export enum StreamEnd {
  /** The end marker was received. */
  Marker = "marker",
  /** The engine reports that it did not run the request. */
  Refused = "refused",
  NeverSent = "never-sent",
  /** The connection closed or timed out before the end marker. */
  Broken = "broken",
  /** The reply carries another request's id. */
  RequestIdMismatch = "crossed",
  /** The engine does not know the stream. */
  Unknown = "unknown",
  /** The chunk handler stopped it. */
  Stopped = "stopped",
}

/** A request to an engine. */
export interface EngineRequest {
  /** Path of the API call, such as `/v1/chat/completions`. */
  readonly path: string;
  readonly attempt: string;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Handles each chunk of a stream; returns false to stop reading. */
export type ChunkHandler = (chunk: StreamChunk) => boolean;

const HEADERS_TIMEOUT_MS = 3000;
/** Engines send a comment line at least every 500 ms, so a longer silence means that the connection is dead. */
const BODY_IDLE_TIMEOUT_MS = 2500;
const PREFILL_TIMEOUT_MS = 60_000;
const MAX_CONNECTIONS = 256;

const chunkSchema = zod.looseObject({
  choices: zod.array(
    zod.looseObject({
      delta: zod.looseObject({ content: zod.string().nullish() }).optional(),
      text: zod.string().optional(),
    }),
  ),
});

/** Client of one engine: OpenAI-compatible completions, resumable streams and load metrics. */
export class EngineClient {
  readonly #origin: platform.Origin;

  /** @param url - base URL of the engine */
  constructor(url: string) {
    this.#origin = new platform.Origin(url, MAX_CONNECTIONS);
  }

  /**
   * Sends a request and reads its stream.
   *
   * @param request - the request
   * @param onChunk - called with each chunk
   * @param signal - aborts the stream
   * @returns why it ended
   */
  async stream(request: EngineRequest, onChunk: ChunkHandler, signal: AbortSignal): Promise<StreamEnd> {
    const opened = await this.#origin.open({
      ...this.#post(request, { ...request.body, stream: true }),
      headersTimeoutMs: HEADERS_TIMEOUT_MS,
      bodyIdleTimeoutMs: BODY_IDLE_TIMEOUT_MS,
      signal,
    });
    return this.#read(opened, request.attempt, onChunk);
  }

  /**
   * Resumes a stream on a new connection.
   *
   * @param attempt - id of the stream
   * @param from - index of the first chunk to receive
   * @param onChunk - called with each chunk
   * @param signal - aborts the stream
   * @returns why it ended
   */
  async resume(attempt: string, from: number, onChunk: ChunkHandler, signal: AbortSignal): Promise<StreamEnd> {
    this.#origin.reset();
    const opened = await this.#origin.open({
      path: `/v1/streams/${encodeURIComponent(attempt)}?from=${from}`,
      method: "GET",
      headersTimeoutMs: HEADERS_TIMEOUT_MS,
      bodyIdleTimeoutMs: BODY_IDLE_TIMEOUT_MS,
      signal,
    });
    return this.#read(opened, attempt, onChunk);
  }

  /**
   * Runs only the prefill of a prompt, to be handed over to a decode engine.
   *
   * @param request - the request
   * @param signal - aborts the call
   * @returns how the call ended; {@link StreamEnd.Marker} means success
   */
  async prefill(request: EngineRequest, signal: AbortSignal): Promise<StreamEnd> {
    const body = { ...request.body, stream: false, kv_transfer_params: { do_remote_decode: true } };
    const reply = await this.#origin.call({
      ...this.#post(request, body),
      headersTimeoutMs: PREFILL_TIMEOUT_MS,
      bodyIdleTimeoutMs: BODY_IDLE_TIMEOUT_MS,
      signal,
    });
    if (reply.isErr()) return toStreamEnd(reply.error);
    if (isNotRunReply(reply.value.status, reply.value.headers)) return StreamEnd.Refused;
    if (reply.value.headers["x-request-id"] !== request.attempt) return StreamEnd.RequestIdMismatch;
    return reply.value.status === 200 ? StreamEnd.Marker : StreamEnd.Broken;
  }

  /** @param attempt - id of the stream to cancel */
  async cancel(attempt: string): Promise<void> {
    const timeouts = { headersTimeoutMs: HEADERS_TIMEOUT_MS, bodyIdleTimeoutMs: BODY_IDLE_TIMEOUT_MS };
    await this.#origin.call({ path: `/v1/streams/${encodeURIComponent(attempt)}`, method: "DELETE", ...timeouts });
  }

  /** @returns the engine's metrics as Prometheus text, or undefined if the call failed */
  async metrics(): Promise<string | undefined> {
    const timeouts = { headersTimeoutMs: HEADERS_TIMEOUT_MS, bodyIdleTimeoutMs: BODY_IDLE_TIMEOUT_MS };
    const reply = await this.#origin.call({ path: "/metrics", method: "GET", ...timeouts });
    return reply.isOk() && reply.value.status === 200 ? reply.value.body.toString("utf8") : undefined;
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#origin.destroy();
  }

  #post(request: EngineRequest, body: object): Pick<platform.CallOptions, "path" | "method" | "headers" | "body"> {
    const headers = { "content-type": "application/json", "x-request-id": request.attempt };
    return { path: request.path, method: "POST", headers, body: JSON.stringify(body) };
  }

  async #read(
    opened: Awaited<ReturnType<platform.Origin["open"]>>,
    attempt: string,
    onChunk: ChunkHandler,
  ): Promise<StreamEnd> {
    if (opened.isErr()) return toStreamEnd(opened.error);
    const { statusCode, headers, body } = opened.value;
    if (statusCode !== 200) {
      body.on("error", () => undefined).destroy();
      if (statusCode === 404) return StreamEnd.Unknown;
      return isNotRunReply(statusCode, headers) ? StreamEnd.Refused : StreamEnd.Broken;
    }
    // A reply on a reused connection may belong to another request, so it must carry the id of this attempt.
    if (headers["x-request-id"] !== attempt) {
      body.on("error", () => undefined).destroy();
      return StreamEnd.RequestIdMismatch;
    }
    try {
      return await readEvents(body, onChunk);
    } catch (error) {
      this.#origin.handleError(error);
      return StreamEnd.Broken;
    }
  }
}

async function readEvents(body: platform.StreamedReply["body"], onChunk: ChunkHandler): Promise<StreamEnd> {
  const state = { end: StreamEnd.Broken, nextIndex: 0 };
  const parser = eventsource.createParser({
    onEvent: (event) => {
      if (state.end !== StreamEnd.Broken) return;
      if (event.data === "[DONE]") {
        state.end = StreamEnd.Marker;
        return;
      }
      const index = event.id === undefined ? state.nextIndex : Number(event.id);
      state.nextIndex = index + 1;
      if (!onChunk({ index, content: parseContent(event.data), data: event.data })) state.end = StreamEnd.Stopped;
    },
  });
  const decoder = new TextDecoder();
  for await (const bytes of body as AsyncIterable<Buffer>) {
    parser.feed(decoder.decode(bytes, { stream: true }));
    if (state.end === StreamEnd.Stopped) break;
  }
  return state.end;
}

function parseContent(data: string): string {
  const [choice] = chunkSchema.parse(JSON.parse(data)).choices;
  return choice?.delta?.content ?? choice?.text ?? "";
}

function isNotRunReply(status: number, headers: Record<string, string | string[] | undefined>): boolean {
  return status >= 400 && headers["x-outcome"] === "not-run";
}

function toStreamEnd(failure: platform.TransportFailure): StreamEnd {
  return failure.delivery === platform.DeliveryStatus.NeverSent ? StreamEnd.NeverSent : StreamEnd.Broken;
}
