import * as clipanion from "clipanion";
import * as undici from "undici";
import * as adminCommand from "./adminCommand.js";
import * as output from "./output.js";

interface AddressesReply {
  readonly addresses: { readonly vm: string; readonly url: string }[];
}

/** Sends one request in the way callers do: looks up the addresses of a service, then calls the first one. */
export class CallCommand extends clipanion.Command {
  static override paths = [["call"]];
  static override usage = clipanion.Command.Usage({
    description: "send one request in the way callers do",
    examples: [
      ["ask a model", "$0 call --service assist-llm --prompt 'Is this batch clean?'"],
      ["print a label once", "$0 call --service yard-app --path /labels --data '{\"bale\":7}' --key label-7"],
    ],
  });
  caller = clipanion.Option.String("--caller", "http://127.0.0.1:9100", {
    env: "CAMPHORCOURSE_CALLER",
    description: "caller address of any daemon [CAMPHORCOURSE_CALLER]",
  });
  token = clipanion.Option.String("--token", "", { env: "CAMPHORCOURSE_TOKEN", description: "the team's token" });
  service = clipanion.Option.String("--service", { required: true, description: "name of the service" });
  prompt = clipanion.Option.String("--prompt", { description: "prompt of a model request" });
  maxTokens = clipanion.Option.String("--max-tokens", "64", { description: "maximum length of the answer in tokens" });
  servicePath = clipanion.Option.String("--path", "/", { description: "path of a plain call" });
  data = clipanion.Option.String("--data", "", { description: "body of a plain call" });
  key = clipanion.Option.String("--key", { description: "value of the Idempotency-Key header" });

  async execute(): Promise<adminCommand.ExitCode> {
    try {
      const url = await this.#resolveUrl();
      const reply = await this.#send(url);
      for await (const chunk of reply.body) this.context.stdout.write(chunk as Buffer);
      this.context.stdout.write("\n");
      return reply.statusCode < 400 ? adminCommand.ExitCode.Done : adminCommand.ExitCode.Refused;
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      const remedy = "check --caller (CAMPHORCOURSE_CALLER), or use another daemon";
      this.context.stderr.write(output.formatProblem({ title: "unreachable", detail, remedy }));
      return adminCommand.ExitCode.Refused;
    }
  }

  async #resolveUrl(): Promise<string> {
    const reply = await undici.request(new URL(`/v1/addresses?service=${this.service}`, this.caller));
    const { addresses } = (await reply.body.json()) as AddressesReply;
    return addresses[0]?.url ?? this.caller;
  }

  #send(url: string): Promise<undici.Dispatcher.ResponseData> {
    const headers: Record<string, string> = {
      authorization: `Bearer ${this.token}`,
      "content-type": "application/json",
      ...(this.key === undefined ? {} : { "idempotency-key": this.key }),
    };
    if (this.prompt === undefined) {
      const target = new URL(`/v1/services/${this.service}${this.servicePath}`, url);
      return undici.request(target, { method: "POST", headers, body: this.data });
    }
    const body = JSON.stringify({
      model: this.service,
      messages: [{ role: "user", content: this.prompt }],
      max_tokens: Number(this.maxTokens),
      stream: true,
    });
    return undici.request(new URL("/v1/chat/completions", url), { method: "POST", headers, body });
  }
}
