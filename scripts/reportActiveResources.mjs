// Preloaded into each test process: prints what keeps its event loop alive when the test runner asks for it.
process.on("SIGUSR2", () => {
  const counts = new Map();
  for (const resource of process.getActiveResourcesInfo()) counts.set(resource, (counts.get(resource) ?? 0) + 1);
  const text = [...counts].map(([resource, count]) => `${resource} x${count}`).join(", ");
  process.stderr.write(`active resources: ${text}\n`);
});
