import * as fs from "node:fs";
import * as clipanion from "clipanion";
import * as descriptions from "./description.js";
import * as experiments from "./experiment.js";
import type * as outcomes from "./outcome.js";
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
cli.register(clipanion.Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2)));
