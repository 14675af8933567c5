#!/usr/bin/env node
import * as clipanion from "clipanion";
import * as typanion from "typanion";
import * as engine from "./engine.js";
import * as engineModel from "./engineModel.js";
import * as keyValue from "./keyValue.js";
import * as plainService from "./plainService.js";
import type * as standIn from "./standIn.js";
import * as vmList from "./vmList.js";

abstract class StandInCommand extends clipanion.Command {
  listen = clipanion.Option.String("--listen", "127.0.0.1:0", { description: "host:port to listen on" });

  protected abstract start(options: standIn.ListenOptions): Promise<standIn.RunningStandIn>;

  async execute(): Promise<void> {
    const [host = "127.0.0.1", port = "0"] = this.listen.split(":");
    const running = await this.start({ host, port: Number(port) });
    this.context.stdout.write(`listening url=${running.url}\n`);
    await new Promise(() => undefined);
  }
}

class KeyValueCommand extends StandInCommand {
  static override paths = [["key-value"]];

  protected start(options: standIn.ListenOptions): Promise<standIn.RunningStandIn> {
    return new keyValue.KeyValueStandIn().start(options);
  }
}

class VmListCommand extends StandInCommand {
  static override paths = [["vm-list"]];

  protected start(options: standIn.ListenOptions): Promise<standIn.RunningStandIn> {
    return new vmList.VmListStandIn().listen(options);
  }
}

class EngineCommand extends StandInCommand {
  static override paths = [["engine"]];
  role = clipanion.Option.String("--role", engineModel.EngineRole.Mixed, {
    validator: typanion.isEnum(Object.values(engineModel.EngineRole)),
    description: "prefill, decode or mixed",
  });
  ignoresFencing = clipanion.Option.Boolean("--ignores-fencing", false, {
    description: "accept orders regardless of their fencing number",
  });
  speed = clipanion.Option.String("--speed", "1", {
    validator: typanion.isNumber(),
    description: "speed factor relative to the cost model",
  });

  protected start(options: standIn.ListenOptions): Promise<standIn.RunningStandIn> {
    const settings = { role: this.role, checksFencing: !this.ignoresFencing, speed: this.speed };
    return new engine.EngineStandIn(settings).listen(options);
  }
}

class ServiceCommand extends StandInCommand {
  static override paths = [["service"]];
  duration = clipanion.Option.String("--duration", "5", {
    validator: typanion.isNumber(),
    description: "duration of a call in milliseconds",
  });

  protected start(options: standIn.ListenOptions): Promise<standIn.RunningStandIn> {
    return new plainService.PlainServiceStandIn({ durationMs: this.duration }).listen(options);
  }
}

const cli = new clipanion.Cli({ binaryName: "camphorcourse-stand-in", binaryVersion: "0.1.0" });
for (const command of [KeyValueCommand, VmListCommand, EngineCommand, ServiceCommand]) cli.register(command);
cli.register(clipanion.Builtins.HelpCommand);
cli.register(clipanion.Builtins.VersionCommand);
process.exitCode = await cli.run(process.argv.slice(2));
