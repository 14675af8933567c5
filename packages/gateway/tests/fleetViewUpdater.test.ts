import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as beliefsModule from "../src/fleetViewUpdater.js";
import * as decisionLogs from "../src/decisionLog.js";
import * as fleetViews from "../src/fleetView.js";
import type * as ports from "../src/ports.js";

const suite = uvu.suite("what is told of endpoints to others");

const PREFIX = "endpoints/";
const ENTRY = new Uint8Array([1]);

const layout = {
  endpointPrefix: PREFIX,
  daemonPrefix: "daemons/",
  configurationKey: "configuration",
  decodeEndpoint: (id: string) =>
    neverthrow.ok({ id, service: "labels", address: "x:1", role: serving.EngineRole.None, leaving: false }),
} as unknown as ports.StoreLayout;

function believing(): { beliefs: beliefsModule.FleetViewUpdater; view: fleetViews.FleetView } {
  const view = new fleetViews.FleetView();
  const log = new decisionLogs.DecisionLog("vm-1", "fatal", { writableLength: 0, write: () => true });
  const onEndpoint = (news: serving.EndpointUpdate): void => {
    if (news.change === serving.EndpointChange.Gone) view.endpointDocuments.delete(news.id);
  };
  const ignore = (): void => undefined;
  const parts = {
    layout,
    view,
    log,
    onEndpoint,
    onSuspect: () => undefined,
    onRoleChange: ignore,
    onConfiguration: ignore,
  };
  return { beliefs: new beliefsModule.FleetViewUpdater(parts), view };
}

// An endpoint leaves. A peer that lags tells its old entry once more, which this daemon doesn't believe. Were it kept to
// be told, a daemon that starts later would learn the old entry without the departure, and send requests there.
suite("an old entry of an endpoint that has left is not passed on", () => {
  const { beliefs, view } = believing();
  beliefs.applyEndpoint("e1", ENTRY, 3, beliefsModule.Source.Peer);
  assert.ok(view.endpointDocuments.has("e1"));
  beliefs.applyDeparture("e1", { revision: 5, bornAt: undefined, setAside: false }, beliefsModule.Source.Peer);
  beliefs.applyEndpoint("e1", ENTRY, 3, beliefsModule.Source.Peer);
  assert.not.ok(view.endpointDocuments.has("e1"));
  beliefs.applyEndpoint("e1", ENTRY, 6, beliefsModule.Source.Peer);
  assert.ok(view.endpointDocuments.has("e1"));
});

// The departure is heard while a listing from before it is on its way.
suite("nor is one of a listing that is older than the departure", () => {
  const { beliefs, view } = believing();
  beliefs.applyEndpoint("e1", ENTRY, 3, beliefsModule.Source.Peer);
  beliefs.applyDeparture("e1", { revision: 5, bornAt: undefined, setAside: false }, beliefsModule.Source.Peer);
  const item = { key: `${PREFIX}e1`, value: ENTRY, revision: 3, createdRevision: 3 };
  beliefs.applyListing({ items: [item], revision: 4 });
  assert.not.ok(view.endpointDocuments.has("e1"));
});

suite.run();
