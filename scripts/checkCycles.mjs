// Fails if modules of a package import each other in a cycle, type imports included: such modules can't be understood or
// tested one by one.
import * as fs from "node:fs";
import * as path from "node:path";

const IMPORT_PATTERN = /\bfrom "(\.[^"]+)\.js"/g;

/** @returns the TypeScript files of a folder and its subfolders */
function sourceFiles(folder) {
  if (!fs.existsSync(folder)) return [];
  return fs
    .readdirSync(folder, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith(".ts"))
    .map((entry) => path.join(entry.parentPath ?? entry.path, entry.name));
}

function importsOf(file) {
  const imports = [...fs.readFileSync(file, "utf8").matchAll(IMPORT_PATTERN)];
  return imports.map(([, target]) => path.join(path.dirname(file), `${target}.ts`));
}

/** @returns the first cycle that a depth-first search from each file finds, as a list of files */
function findCycle(graph) {
  const finished = new Set();
  const current = [];
  const visit = (file) => {
    if (finished.has(file)) return undefined;
    const start = current.indexOf(file);
    if (start >= 0) return [...current.slice(start), file];
    current.push(file);
    for (const target of graph.get(file) ?? []) {
      const cycle = visit(target);
      if (cycle !== undefined) return cycle;
    }
    current.pop();
    finished.add(file);
    return undefined;
  };
  for (const file of graph.keys()) {
    const cycle = visit(file);
    if (cycle !== undefined) return cycle;
  }
  return undefined;
}

const folders = fs.readdirSync("packages").map((name) => path.join("packages", name, "src"));
for (const folder of [...folders, "platform/src"]) {
  const cycle = findCycle(new Map(sourceFiles(folder).map((file) => [file, importsOf(file)])));
  if (cycle === undefined) continue;
  console.error(`found a cycle of imports; move the shared types into a module of their own:\n${cycle.join("\n")}`);
  process.exitCode = 1;
}
