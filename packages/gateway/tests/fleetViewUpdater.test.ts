import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fleetViewUpdaters from "../src/fleetViewUpdater.js";
import * as decisionLogs from "../src/decisionLog.js";
import * as fleetViews from "../src/fleetView.js";
import type * as ports from "../src/ports.js";

const suite = uvu.suite("endpoint entries kept for sending to peers");

const PREFIX = "endpoints/";
const ENTRY = new Uint8Array([1]);

const layout = {
  endpointPrefix: PREFIX,
  daemonPrefix: "daemons/",
  configurationKey: "configuration",
  decodeEndpoint: (id: string) =>
    neverthrow.ok({ id, service: "labels", address: "x:1", role: serving.EngineRole.None, leaving: false }),
} as unknown as ports.StoreLayout;

function createUpdater(): { updater: fleetViewUpdaters.FleetViewUpdater; view: fleetViews.FleetView } {
  const view = new fleetViews.FleetView();
  const log = new decisionLogs.DecisionLog("vm-1", "fatal", { writableLength: 0, write: () => true });
  const onEndpoint = (update: serving.EndpointUpdate): void => {
    if (update.change === serving.EndpointChange.Gone) view.endpointDocuments.delete(update.id);
  };
  const ignore = (): void => undefined;
  const parts = {
    layout,
    view,
    log,
    lateMs: () => 0,
    onEndpoint,
    onSuspect: () => undefined,
    onUsageReport: () => undefined,
    onRoleChange: ignore,
    onConfiguration: ignore,
  };
  return { updater: new fleetViewUpdaters.FleetViewUpdater(parts), view };
}

// An endpoint leaves, and a peer that lags behind sends its old entry once more. If the entry were kept for sending to
// peers, a daemon that starts later would get the old entry without the departure, and send requests there.
suite("an outdated entry of an endpoint that has left is not kept", () => {
  const { updater, view } = createUpdater();
  updater.applyEndpoint("e1", ENTRY, 3, fleetViewUpdaters.Source.Peer);
  assert.ok(view.endpointDocuments.has("e1"));
  updater.applyDeparture(
    "e1",
    { revision: 5, bornAt: undefined, setAside: false, isStated: false },
    fleetViewUpdaters.Source.Peer,
  );
  updater.applyEndpoint("e1", ENTRY, 3, fleetViewUpdaters.Source.Peer);
  assert.not.ok(view.endpointDocuments.has("e1"));
  updater.applyEndpoint("e1", ENTRY, 6, fleetViewUpdaters.Source.Peer);
  assert.ok(view.endpointDocuments.has("e1"));
});

// The departure arrives while a listing from before it is on its way.
suite("an entry in a listing older than the departure is not kept", () => {
  const { updater, view } = createUpdater();
  updater.applyEndpoint("e1", ENTRY, 3, fleetViewUpdaters.Source.Peer);
  updater.applyDeparture(
    "e1",
    { revision: 5, bornAt: undefined, setAside: false, isStated: false },
    fleetViewUpdaters.Source.Peer,
  );
  const item = { key: `${PREFIX}e1`, value: ENTRY, revision: 3, createdRevision: 3 };
  updater.applyListing({ items: [item], revision: 4 }, 0);
  assert.not.ok(view.endpointDocuments.has("e1"));
});

suite.run();
