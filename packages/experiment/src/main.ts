import * as fs from "node:fs";
import * as clipanion from "clipanion";
import * as cutOffReplays from "./cutOffReplay.js";
import * as descriptions from "./description.js";
import * as experiments from "./experiment.js";
import * as limitComparisons from "./limitComparison.js";
import type * as outcomes from "./outcome.js";
import * as streamReplays from "./streamReplay.js";
import * as statementReplays from "./statementReplay.js";
import * as tables from "./table.js";

const VERSION = "0.1.0";
const EXIT_BAD_FILE = 2;
const EXIT_BAD_OPTION = 2;
const SEEDS = [11, 12, 13];

/** Length of the windows of which the worst is printed, in milliseconds. */
const WINDOW_MS = 2_000;

/** Simulates an experiment with several seeds and prints its metrics. */
class RunCommand extends clipanion.Command {
  static override paths = [["run"]];
  static override usage = clipanion.Command.Usage({ description: "simulate an experiment file with several seeds" });
  file = clipanion.Option.String({ required: true });

  execute(): Promise<number> {
    const description = descriptions.parseDescription(fs.readFileSync(this.file, "utf8"));
    if (description.isErr()) {
      this.context.stderr.write(`${description.error}\n`);
      return Promise.resolve(EXIT_BAD_FILE);
    }
    for (const seed of SEEDS) {
      const { statistics, ...counts } = new experiments.Experiment(description.value, seed).run();
      console.log({
        seed,
        ...rounded(statistics.overall()),
        worstWindow: statistics.worstWindow(WINDOW_MS),
        ...counts,
      });
      console.table(Object.fromEntries([...statistics.byKind()].map(([name, kind]) => [name, rounded(kind)])));
      for (const name of statistics.byKind().keys()) {
        const deciles = statistics.answeredBySizeDecile(name).map((share) => share.toFixed(2));
        console.log(`${name}: answered by tenth of size, smallest first: ${deciles.join(" ")}`);
      }
    }
    return Promise.resolve(0);
  }
}

/** Simulates an experiment with several numbers of daemons and load factors, and prints a Markdown table. */
class TableCommand extends clipanion.Command {
  static override paths = [["table"]];
  static override usage = clipanion.Command.Usage({
    description: "simulate a load with several numbers of daemons and print a table",
    examples: [
      [
        "8 daemons that learn of each other's work after 50 ms, and 195 after 1000 ms",
        "$0 table FILE --deciders 8:50,195:1000",
      ],
    ],
  });
  file = clipanion.Option.String({ required: true });
  daemonSetups = clipanion.Option.String("--deciders", "8:50", {
    description: "number of daemons, and age in milliseconds of what they know of each other: 8:50,15:84",
  });
  loadFactors = clipanion.Option.String("--loads", "1,1.7", { description: "load factors: 1,1.7" });

  execute(): Promise<number> {
    const description = descriptions.parseDescription(fs.readFileSync(this.file, "utf8"));
    if (description.isErr()) {
      this.context.stderr.write(`${description.error}\n`);
      return Promise.resolve(EXIT_BAD_FILE);
    }
    const daemonSetups = parseDaemonSetups(this.daemonSetups);
    const loadFactors = this.loadFactors.split(",").map(Number);
    if (daemonSetups === undefined || !loadFactors.every((loadFactor) => loadFactor > 0)) {
      this.context.stderr.write("--deciders takes DAEMONS:MILLISECONDS,..., --loads takes factors above 0\n");
      return Promise.resolve(EXIT_BAD_OPTION);
    }
    this.context.stdout.write(`${tables.TABLE_HEADER}\n`);
    for (const loadFactor of loadFactors) {
      for (const each of daemonSetups) {
        const row = tables.simulateRow(description.value, each, loadFactor, SEEDS);
        this.context.stdout.write(`${tables.toMarkdown(row)}\n`);
      }
    }
    return Promise.resolve(0);
  }
}

/** Compares the ways of dividing the limits of engines among the daemons, and prints a Markdown table. */
class LimitsCommand extends clipanion.Command {
  static override paths = [["limits"]];
  static override usage = clipanion.Command.Usage({
    description: "replay engines that limit their requests, with each way of dividing a limit among the daemons",
    details:
      "worst: requests in a window as a share of what is allowed, over 1 breaks the bound; used: share of the limit",
    examples: [["9 daemons before 6 engines that take 3 requests a second each", "$0 limits --daemons 9 --engines 6"]],
  });
  daemons = clipanion.Option.String("--daemons", "9", { description: "number of daemons (default 9)" });
  engines = clipanion.Option.String("--engines", "6", { description: "number of engines (default 6)" });
  limit = clipanion.Option.String("--limit", "3", { description: "requests a second that each takes (default 3)" });

  execute(): Promise<number> {
    const [daemons, engines, limit] = [this.daemons, this.engines, this.limit].map(Number);
    if (!(
      daemons !== undefined &&
      daemons > 0 &&
      engines !== undefined &&
      engines > 0 &&
      limit !== undefined &&
      limit > 0
    )) {
      this.context.stderr.write("--daemons, --engines and --limit take numbers above 0\n");
      return Promise.resolve(EXIT_BAD_OPTION);
    }
    this.context.stdout.write("| division | worst | used |\n| --- | --- | --- |\n");
    for (const name of Object.values(limitComparisons.DivisionName)) {
      const [seed = 1] = SEEDS;
      const row = limitComparisons.replayLimit(name, daemons, engines, limit, seed);
      this.context.stdout.write(`| ${name} | ${row.worstShareOfBound.toFixed(2)} | ${row.usedShare.toFixed(2)} |\n`);
    }
    return Promise.resolve(0);
  }
}

/** Compares the reactions to daemons that are cut off from all endpoints, and prints a Markdown table. */
class CutOffCommand extends clipanion.Command {
  static override paths = [["cut-off"]];
  static override usage = clipanion.Command.Usage({
    description: "replay daemons of one data centre that lose their links to all endpoints, with each reaction",
    details:
      "served: first tries at cut-off daemons and elsewhere; passed on: requests for others at the busiest daemon, in multiples of its own",
    examples: [["690 daemons, all of one of three data centres cut off", "$0 cut-off --daemons 690 --endpoints 5300"]],
  });
  daemons = clipanion.Option.String("--daemons", "9", { description: "number of daemons (default 9)" });
  endpoints = clipanion.Option.String("--endpoints", "6", { description: "number of endpoints (default 6)" });
  share = clipanion.Option.String("--share", "1", { description: "share of the data centre's daemons (default 1)" });

  execute(): Promise<number> {
    const [daemons = 0, endpoints = 0, cutShare = 0] = [this.daemons, this.endpoints, this.share].map(Number);
    if (!(daemons > 0 && endpoints > 0 && cutShare > 0 && cutShare <= 1)) {
      this.context.stderr.write("--daemons and --endpoints take numbers above 0, --share one up to 1\n");
      return Promise.resolve(EXIT_BAD_OPTION);
    }
    const heartbeatMs = limitComparisons.heartbeatMsOf(daemons);
    const fleet = { daemons, dataCentres: 3, endpoints, cutShare, requestsPerSecondEach: 5, heartbeatMs };
    const header = [
      "reaction",
      "tries at cut-off",
      "served there",
      "served elsewhere",
      "passed on",
      "attempts a second",
    ];
    this.context.stdout.write(`| ${header.join(" | ")} |\n|${" --- |".repeat(header.length)}\n`);
    for (const reaction of Object.values(cutOffReplays.CutOffReaction)) {
      const [seed = 1] = SEEDS;
      const row = new cutOffReplays.CutOffReplay({ ...fleet, reaction }, seed).run();
      const figures = [row.servedAtCutOff, row.servedElsewhere, row.mostPassedOn, row.probesPerSecond];
      const cells = [reaction, row.triesAtCutOff, ...figures.map((figure) => figure.toFixed(2))];
      this.context.stdout.write(`| ${cells.join(" | ")} |\n`);
    }
    return Promise.resolve(0);
  }
}

/** Compares what daemons make of endpoints that leave or rest, and prints a Markdown table. */
class StatementsCommand extends clipanion.Command {
  static override paths = [["statements"]];
  static override usage = clipanion.Command.Usage({
    description:
      "replay endpoints of which a third leaves and a third turns requests away for a second, with each reaction",
    details:
      "to leaving, in rest: most requests of one daemon to one endpoint that had told it; each leaving: requests to one",
    examples: [["690 daemons before 5,300 endpoints", "$0 statements --daemons 690 --endpoints 5300"]],
  });
  daemons = clipanion.Option.String("--daemons", "9", { description: "number of daemons (default 9)" });
  endpoints = clipanion.Option.String("--endpoints", "6", { description: "number of endpoints (default 6)" });

  execute(): Promise<number> {
    const [daemons = 0, endpoints = 0] = [this.daemons, this.endpoints].map(Number);
    if (!(daemons > 0 && endpoints > 0)) {
      this.context.stderr.write("--daemons and --endpoints take numbers above 0\n");
      return Promise.resolve(EXIT_BAD_OPTION);
    }
    const heartbeatMs = limitComparisons.heartbeatMsOf(daemons);
    const fleet = {
      daemons,
      endpoints,
      requestsPerSecondEach: 10,
      heartbeatMs,
      leavingShare: 1 / 3,
      restingShare: 1 / 3,
    };
    const header = ["reaction", "to leaving", "each leaving", "in rest", "worst return", "served"];
    this.context.stdout.write(`| ${header.join(" | ")} |\n|${" --- |".repeat(header.length)}\n`);
    for (const reaction of Object.values(statementReplays.StatementReaction)) {
      const [seed = 1] = SEEDS;
      const row = new statementReplays.StatementReplay({ ...fleet, reaction }, seed).run();
      const figures = [row.requestsEachLeaving.toFixed(1), row.sentInRest, row.worstReturn.toFixed(2)];
      const cells = [reaction, row.sentToLeaving, ...figures, row.servedShare.toFixed(3)];
      this.context.stdout.write(`| ${cells.join(" | ")} |\n`);
    }
    return Promise.resolve(0);
  }
}

/** Compares how daemons learn what began the streams that callers take up, and prints a Markdown table. */
class StreamsCommand extends clipanion.Command {
  static override paths = [["streams"]];
  static override usage = clipanion.Command.Usage({
    description: "replay streams that callers take up while versions of endpoints' software change and daemons fail",
    examples: [["690 daemons, three versions", "$0 streams --daemons 690 --endpoints 530 --versions 3"]],
  });
  daemons = clipanion.Option.String("--daemons", "9", { description: "number of daemons (default 9)" });
  endpoints = clipanion.Option.String("--endpoints", "6", { description: "number of endpoints (default 6)" });
  versions = clipanion.Option.String("--versions", "2", { description: "number of versions (default 2)" });
  rate = clipanion.Option.String("--rate", "6", { description: "streams a second at each daemon (default 6)" });

  execute(): Promise<number> {
    const numbers = [this.daemons, this.endpoints, this.versions, this.rate].map(Number);
    const [daemons = 0, endpoints = 0, versions = 0, streamsPerSecondEach = 0] = numbers;
    if (!numbers.every((number) => number > 0)) {
      this.context.stderr.write("--daemons, --endpoints, --versions and --rate take numbers above 0\n");
      return Promise.resolve(EXIT_BAD_OPTION);
    }
    const heartbeatMs = limitComparisons.heartbeatMsOf(daemons);
    const troubles = { dataCentres: 3, killedShare: 0.3, cutShare: 0.3 };
    const fleet = { daemons, endpoints, versions, streamsPerSecondEach, heartbeatMs, ...troubles };
    const header = ["knowledge", "taken up", "mixed", "went on", "bytes a second", "records"];
    this.context.stdout.write(`| ${header.join(" | ")} |\n|${" --- |".repeat(header.length)}\n`);
    for (const knowledge of Object.values(streamReplays.StreamKnowledge)) {
      const [seed = 1] = SEEDS;
      const row = new streamReplays.StreamReplay({ ...fleet, knowledge }, seed).run();
      const figures = [row.goOnShare.toFixed(3), Math.round(row.mostBytesPerSecond), row.mostRecords];
      this.context.stdout.write(`| ${[knowledge, row.takenUp, row.mixed, ...figures].join(" | ")} |\n`);
    }
    return Promise.resolve(0);
  }
}

function parseDaemonSetups(text: string): tables.DaemonSetup[] | undefined {
  const setups = text.split(",").map((pair) => {
    const [daemons = Number.NaN, viewAgeMs = Number.NaN] = pair.split(":").map(Number);
    return { daemons, viewAgeMs };
  });
  return setups.every(({ daemons, viewAgeMs }) => Number.isInteger(daemons) && daemons > 0 && viewAgeMs > 0)
    ? setups
    : undefined;
}

function rounded(metrics: outcomes.OutcomeMetrics): outcomes.OutcomeMetrics {
  return { ...metrics, goodput: Number(metrics.goodput.toFixed(3)) };
}

const cli = new clipanion.Cli({ binaryName: "camphorcourse-experiment", binaryVersion: VERSION });
cli.register(RunCommand);
cli.register(TableCommand);
cli.register(LimitsCommand);
cli.register(CutOffCommand);
cli.register(StatementsCommand);
cli.register(StreamsCommand);
cli.register(clipanion.Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2)));
