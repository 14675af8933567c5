// Generates the operators' tables of settings and errors from the code that defines them.
import * as fs from "node:fs";
import * as common from "../packages/common/dist/src/index.js";
import * as daemon from "../packages/daemon/dist/src/index.js";

const settings = daemon
  .describeSettings()
  .map(
    ({ flag, variable, description, defaultValue }) =>
      `| \`${flag}\` | \`${variable}\` | ${description} | ${defaultValue ?? "must be given"} |`,
  );
const errors = common.describeKinds().map(({ kind, status, remedy }) => `| \`${kind}\` | ${status} | ${remedy} |`);

const pages = {
  "docs/operators/settings.md": `# Settings of the daemon

Each setting is a flag or the environment variable of the same name; the flag
wins. A bad value is refused at the start with the flag, the value and the
remedy. This page is written by \`npm run docs\`.

| flag | variable | meaning | default |
| --- | --- | --- | --- |
${settings.join("\n")}
`,
  "docs/operators/errors.md": `# Errors and their remedies

Callers and operators get each error as \`application/problem+json\` with its kind
(\`title\`), a detail, the remedy, and \`outcome\`: \`not-run\` (nothing was dispatched,
or the endpoint says itself that it did not run), \`ran\`, or \`unknown\` (it may have
run). \`Retry-After\` tells when to retry, where that helps. This page is
written by \`npm run docs\`.

| kind | status | remedy |
| --- | --- | --- |
${errors.join("\n")}
`,
};
for (const [file, text] of Object.entries(pages)) fs.writeFileSync(file, text);
