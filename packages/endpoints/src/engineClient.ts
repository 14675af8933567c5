import * as platform from "@camphorcourse/fleet-state";
import * as eventsource from "eventsource-parser";
import * as zod from "zod";

/** One piece of a streamed answer. */
export interface StreamChunk {
  readonly index: number;
  readonly content: string;
  /** The event's data as the engine sent it. */
  readonly data: string;
}

/** How reading a stream ended. */
export enum StreamEnd {
  /** The end marker came. */
  Marker = "marker",
  /** The engine says that it did not run the request. */
  Refused = "refused",
  NeverSent = "never-sent",
  /** Closed or silent before the end marker. */
  Broken = "broken",
  /** The reply carries another request's id. */
  RequestIdMismatch = "crossed",
  /** The engine knows no such stream. */
  Unknown = "unknown",
  /** The reader asked to stop. */
  Stopped = "stopped",
}

/** A request to an engine. */
export interface EngineRequest {
  /** Path of the API, such as `/v1/chat/completions`. */
  readonly path: string;
  readonly attempt: string;
  readonly body: Readonly<Record<string, unknown>>;
}

/** What reads a stream: returns false to stop. */
export type PieceReader = (piece: StreamChunk) => boolean;

const HEAD_TIMEOUT_MS = 3000;
/** Engines send a comment line at least every half second, so this long a silence means a dead connection. */
const SILENCE_MS = 2500;
const PREFILL_TIMEOUT_MS = 60_000;
const CONNECTIONS = 256;

const chunkSchema = zod.looseObject({
  choices: zod.array(
    zod.looseObject({
      delta: zod.looseObject({ content: zod.string().nullish() }).optional(),
      text: zod.string().optional(),
    }),
  ),
});

/** A client of one engine: OpenAI-compatible completions, streams that resume, load. */
export class EngineClient {
  readonly #origin: platform.Origin;

  /** @param url - the engine's address */
  constructor(url: string) {
    this.#origin = new platform.Origin(url, CONNECTIONS);
  }

  /**
   * Sends a request and reads its stream.
   *
   * @param request - the request
   * @param onPiece - told of each piece
   * @param signal - ends the reading
   * @returns how it ended
   */
  async stream(request: EngineRequest, onPiece: PieceReader, signal: AbortSignal): Promise<StreamEnd> {
    const opened = await this.#origin.open({
      ...this.#post(request, { ...request.body, stream: true }),
      headTimeoutMs: HEAD_TIMEOUT_MS,
      silenceMs: SILENCE_MS,
      signal,
    });
    return this.#read(opened, request.attempt, onPiece);
  }

  /**
   * Takes a stream up again on a new connection.
   *
   * @param attempt - id of the stream
   * @param from - first index wanted
   * @param onPiece - told of each piece
   * @param signal - ends the reading
   * @returns how it ended
   */
  async resume(attempt: string, from: number, onPiece: PieceReader, signal: AbortSignal): Promise<StreamEnd> {
    this.#origin.reset();
    const opened = await this.#origin.open({
      path: `/v1/streams/${encodeURIComponent(attempt)}?from=${from}`,
      method: "GET",
      headTimeoutMs: HEAD_TIMEOUT_MS,
      silenceMs: SILENCE_MS,
      signal,
    });
    return this.#read(opened, attempt, onPiece);
  }

  /**
   * Has a prompt taken in, to be handed to a decoding engine.
   *
   * @param request - the request
   * @param signal - ends the wait
   * @returns how it ended
   */
  async prefill(request: EngineRequest, signal: AbortSignal): Promise<StreamEnd> {
    const body = { ...request.body, stream: false, kv_transfer_params: { do_remote_decode: true } };
    const reply = await this.#origin.call({
      ...this.#post(request, body),
      headTimeoutMs: PREFILL_TIMEOUT_MS,
      silenceMs: SILENCE_MS,
      signal,
    });
    if (reply.isErr()) return endOf(reply.error);
    if (isRefusal(reply.value.status, reply.value.headers)) return StreamEnd.Refused;
    if (reply.value.headers["x-request-id"] !== request.attempt) return StreamEnd.RequestIdMismatch;
    return reply.value.status === 200 ? StreamEnd.Marker : StreamEnd.Broken;
  }

  /** @param attempt - the stream to end */
  async cancel(attempt: string): Promise<void> {
    const timeouts = { headTimeoutMs: HEAD_TIMEOUT_MS, silenceMs: SILENCE_MS };
    await this.#origin.call({ path: `/v1/streams/${encodeURIComponent(attempt)}`, method: "DELETE", ...timeouts });
  }

  /** @returns the Prometheus text of the engine's load, if it answers */
  async metrics(): Promise<string | undefined> {
    const timeouts = { headTimeoutMs: HEAD_TIMEOUT_MS, silenceMs: SILENCE_MS };
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
    onPiece: PieceReader,
  ): Promise<StreamEnd> {
    if (opened.isErr()) return endOf(opened.error);
    const { statusCode, headers, body } = opened.value;
    if (statusCode !== 200) {
      body.on("error", () => undefined).destroy();
      if (statusCode === 404) return StreamEnd.Unknown;
      return isRefusal(statusCode, headers) ? StreamEnd.Refused : StreamEnd.Broken;
    }
    // The nonce of the attempt: an answer on a reused connection may be another request's.
    if (headers["x-request-id"] !== attempt) {
      body.on("error", () => undefined).destroy();
      return StreamEnd.RequestIdMismatch;
    }
    try {
      return await readEvents(body, onPiece);
    } catch (error) {
      this.#origin.fail(error);
      return StreamEnd.Broken;
    }
  }
}

async function readEvents(body: platform.OpenReply["body"], onPiece: PieceReader): Promise<StreamEnd> {
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
      if (!onPiece({ index, content: contentOf(event.data), data: event.data })) state.end = StreamEnd.Stopped;
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of body as AsyncIterable<Buffer>) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    if (state.end === StreamEnd.Stopped) break;
  }
  return state.end;
}

function contentOf(data: string): string {
  const [choice] = chunkSchema.parse(JSON.parse(data)).choices;
  return choice?.delta?.content ?? choice?.text ?? "";
}

function isRefusal(status: number, headers: Record<string, string | string[] | undefined>): boolean {
  return status >= 400 && headers["x-outcome"] === "not-run";
}

function endOf(failure: platform.TransportFailure): StreamEnd {
  return failure.delivery === platform.DeliveryStatus.NeverSent ? StreamEnd.NeverSent : StreamEnd.Broken;
}
