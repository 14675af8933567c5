import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fleetViews from "../src/fleetView.js";
import * as recentChangesModule from "../src/peers/recentChanges.js";

const ENDPOINTS = 300;
const MAX_IN_HEARTBEAT = 30;

const suite = uvu.suite("recent changes of endpoints");

// Hundreds of endpoints leave together. All of them in every heartbeat filled the links of a fleet of a hundred.
suite("departures take turns, so that a heartbeat stays small and each one is sent soon", () => {
  const changes = new recentChangesModule.RecentChanges(new fleetViews.FleetView());
  for (let index = 0; index < ENDPOINTS; index++)
    changes.noteDeparture(`e${index}`, { revision: index + 1, bornAt: undefined, setAside: false, isStated: false }, 0);
  const sent = new Set<string>();
  for (let heartbeat = 0; heartbeat < ENDPOINTS / MAX_IN_HEARTBEAT; heartbeat++) {
    const departures = changes.nextDepartures(heartbeat * 100);
    assert.ok(departures.length <= MAX_IN_HEARTBEAT);
    for (const { endpoint } of departures) sent.add(endpoint);
  }
  assert.is(sent.size, ENDPOINTS);
  assert.is(changes.allDepartures(1_000).length, ENDPOINTS);
  assert.is(changes.nextDepartures(10_000).length, 0);
});

suite.run();
