import * as serving from "@camphorcourse/serving";
import * as daemonEntries from "./daemonEntry.js";
import type * as decisionLogs from "./decisionLog.js";
import type * as fleetViews from "./fleetView.js";
import type * as ports from "./ports.js";
import * as timeoutKeepers from "./streams/timeoutKeeper.js";
import * as suspectCodec from "./suspects/suspectCodec.js";

/** Source of an update. */
export enum Source {
  Store = "store",
  Peer = "peer",
  /** The endpoint itself, by what it answered to a request. */
  Endpoint = "endpoint",
}

/** Why an endpoint gets no new requests, as sent to other daemons. */
export interface Departure {
  /** Revision at which the endpoint departed. */
  readonly revision: number;
  /** Start of the incarnation that is leaving, in Unix milliseconds; undefined if the entry is gone. */
  readonly bornAt: number | undefined;
  /** Whether the key holds an unusable entry by another writer. */
  readonly setAside: boolean;
  /** Whether the endpoint itself said in an answer that it leaves. */
  readonly isStated: boolean;
}

/** Dependencies of {@link FleetViewUpdater}. */
export interface FleetViewUpdaterParts {
  readonly layout: ports.StoreLayout;
  readonly view: fleetViews.FleetView;
  readonly log: decisionLogs.DecisionLog;
  /** @returns delay of the event loop, in milliseconds */
  readonly lateMs: () => number;
  /** Called for each change of an endpoint. */
  readonly onEndpoint: (update: serving.EndpointUpdate) => void;
  /**
   * Called when an engine's role was changed, with its service, its role, and how long ago that was, in milliseconds.
   */
  readonly onRoleChange: (service: string, role: serving.EngineRole, agoMs: number) => void;
  /** Called with the stored record of a suspect request. */
  readonly onSuspect: (record: serving.SuspectRecord) => void;
  /** Called with the stored usage report that was fixed last. */
  readonly onUsageReport: (value: Uint8Array) => void;
  /** Called when a configuration has come into force. */
  readonly onConfiguration: () => void;
}

/** Decodes data from the key-value service and from peers, and updates the view of the fleet. */
export class FleetViewUpdater {
  readonly #parts: FleetViewUpdaterParts;
  #roleChangeRevision = 0;

  /** @param parts - dependencies */
  constructor(parts: FleetViewUpdaterParts) {
    this.#parts = parts;
  }

  /**
   * Applies a full listing: endpoints and daemons that are not in it are removed.
   *
   * @param listing - everything in the key-value service
   * @param begunAt - when its read began, in milliseconds
   */
  applyListing(listing: ports.StoreListing, begunAt: number): void {
    const { layout, view } = this.#parts;
    const endpoints: serving.ListedEntry[] = [];
    const documents: ports.StoredItem[] = [];
    const faults = new Map<string, string>();
    const daemons = new Set<string>();
    for (const item of listing.items) {
      if (item.key.startsWith(layout.endpointPrefix)) {
        const id = item.key.slice(layout.endpointPrefix.length);
        const decoded = layout.decodeEndpoint(id, item.value);
        endpoints.push({ id, endpoint: decoded.unwrapOr(undefined), revision: item.revision });
        documents.push(item);
        if (decoded.isErr()) faults.set(id, decoded.error);
        continue;
      }
      if (item.key.startsWith(layout.daemonPrefix)) daemons.add(item.key);
      this.#applyItem(item, begunAt);
    }
    const changes = view.directory.applyListing(endpoints, listing.revision, performance.now());
    for (const { key, value, revision } of documents) {
      this.#cacheDocument(key.slice(layout.endpointPrefix.length), value, revision);
    }
    for (const update of changes) this.#report(update, Source.Store, faults.get(update.id));
    for (const key of [...view.daemons.keys()]) if (!daemons.has(key)) this.#removeDaemon(key);
    if (!listing.items.some(({ key }) => key === layout.streamTimeoutKey)) this.#noteNoTimeout(listing.revision);
  }

  /**
   * @param event - a change in the key-value service
   * @param begunAt - when its read began, in milliseconds
   */
  applyEvent(event: ports.StoreEvent, begunAt: number): void {
    const { layout, view } = this.#parts;
    if (event.item !== undefined) {
      this.#applyItem(event.item, begunAt);
      return;
    }
    if (event.key === layout.streamTimeoutKey) this.#noteNoTimeout(event.revision);
    if (event.key.startsWith(layout.daemonPrefix)) this.#removeDaemon(event.key);
    if (!event.key.startsWith(layout.endpointPrefix)) return;
    // Shortly after an outage of the service, a removal may be an entry that lapsed during the outage; the next listing
    // shows which.
    if (view.directory.isReregistrationGraceActive(performance.now())) return;
    const departure = { revision: event.revision, bornAt: undefined, setAside: false, isStated: false };
    this.applyDeparture(event.key.slice(layout.endpointPrefix.length), departure, Source.Store);
  }

  /**
   * Puts a configuration into force if it is newer than the current one and can be decoded.
   *
   * @param document - the operators' document
   * @param revision - revision of its write
   * @param source - source of the update
   * @param begunAt - when the read that found it began, in milliseconds, if this daemon has read it
   */
  applyConfiguration(document: Uint8Array, revision: number, source: Source, begunAt?: number): void {
    const { layout, lateMs, view, log } = this.#parts;
    if (revision <= view.configurationRevision) return;
    const configuration = layout.decodeConfiguration(document);
    if (configuration.isErr()) {
      log.warn("configuration-unreadable", { revision, source, detail: configuration.error });
      return;
    }
    const before = view.configurationRevision;
    if (!view.configure(configuration.value, document, revision)) return;
    const { version, routes } = configuration.value;
    log.info("configuration-in-force", {
      version,
      revision,
      before,
      routes: routes.length,
      source,
      readAgeMs: begunAt === undefined ? undefined : Math.round(performance.now() - begunAt),
      lateMs: Math.round(lateMs()),
    });
    this.#parts.onConfiguration();
  }

  /**
   * @param id - the endpoint
   * @param value - its entry
   * @param revision - revision of the entry
   * @param source - source of the update
   */
  applyEndpoint(id: string, value: Uint8Array, revision: number, source: Source): void {
    const { layout, view } = this.#parts;
    const decoded = layout.decodeEndpoint(id, value);
    const update = decoded.isOk() ? view.directory.put(decoded.value, revision) : view.directory.setAside(id, revision);
    this.#cacheDocument(id, value, revision);
    if (update !== undefined) this.#report(update, source, decoded.isErr() ? decoded.error : undefined);
  }

  /**
   * @param id - an endpoint that is leaving, gone or set aside
   * @param departure - which of these, and since when
   * @param source - source of the update
   */
  applyDeparture(id: string, departure: Departure, source: Source): void {
    const { directory, endpointDocuments } = this.#parts.view;
    const { revision, bornAt, isStated, setAside } = departure;
    if (isStated) {
      const marked = directory.markReportedLeaving(id, bornAt);
      if (marked !== undefined) this.#report(marked, source);
      return;
    }
    const update = setAside ? directory.setAside(id, revision) : directory.remove(id, revision, bornAt);
    if (directory.isSetAside(id)) endpointDocuments.delete(id);
    if (update !== undefined) this.#report(update, source, setAside ? "reported by another daemon" : undefined);
  }

  /**
   * Handles an endpoint's answer that a request was not meant for it: its address has been taken over by another
   * endpoint, or its role has changed. A daemon that has not received this update would continue to send there, and
   * reject callers.
   *
   * @param endpoint - the endpoint as known
   * @param answeredBy - the endpoint that is there now, if it is given
   */
  applyMisdirection(endpoint: serving.Endpoint, answeredBy: string | undefined): void {
    const { directory } = this.#parts.view;
    const replaced = answeredBy !== undefined && answeredBy !== endpoint.id;
    const update = replaced ? directory.markReplaced(endpoint) : directory.markRoleDeclined(endpoint);
    if (update !== undefined) this.#report(update, Source.Endpoint);
  }

  /**
   * Handles an endpoint's statement in an answer that it leaves.
   *
   * @param endpoint - the endpoint as it was known when the request was sent
   */
  applyLeaving(endpoint: serving.Endpoint): void {
    const update = this.#parts.view.directory.markLeaving(endpoint);
    if (update !== undefined) this.#report(update, Source.Endpoint);
  }

  /**
   * Adds a daemon that sent a heartbeat or was reported by a peer but is not known from the key-value service. A daemon
   * that starts while the service is unreachable receives heartbeats; without knowing the senders it could answer none
   * of them, nobody would send it the configuration, and it would serve nobody until the service recovers. Here it
   * learns the address that the heartbeat came from. The address for callers comes from the daemon itself or from its
   * entry before it left; without one, no callers are sent to it until its entry can be written.
   *
   * @param daemon - the daemon as reported; fields that were not reported are empty
   */
  addDiscoveredDaemon(daemon: daemonEntries.DaemonEntry): void {
    const { layout, view, log } = this.#parts;
    const { vm, incarnation, peers } = daemon;
    const key = `${layout.daemonPrefix}${vm}`;
    const known = view.daemons.get(key);
    if (known !== undefined && (daemon.callers === "" || daemon.callers === known.callers)) return;
    const before = view.former.remove(vm);
    const entry = daemon.callers === "" && before !== undefined ? { ...before, incarnation, peers } : daemon;
    view.daemons.set(key, entry);
    log.info("daemon-joined", { daemon: vm, address: peers, callers: entry.callers, source: Source.Peer });
  }

  /**
   * Caches an entry for sending to peers if it is the current one, and drops it if it names no usable endpoint. A
   * departure is sent for a few seconds only. If an outdated entry were cached, a daemon that starts later would
   * receive just that entry, and send requests to an endpoint that has left.
   */
  #cacheDocument(id: string, value: Uint8Array, revision: number): void {
    const { directory, endpointDocuments } = this.#parts.view;
    if (directory.isSetAside(id)) endpointDocuments.delete(id);
    else if (directory.revisionOf(id) === revision) endpointDocuments.set(id, { value, revision });
  }

  #applyItem(item: ports.StoredItem, begunAt: number): void {
    const { layout } = this.#parts;
    if (item.key === layout.configurationKey) {
      this.applyConfiguration(item.value, item.revision, Source.Store, begunAt);
    } else if (item.key.startsWith(layout.endpointPrefix)) {
      this.applyEndpoint(item.key.slice(layout.endpointPrefix.length), item.value, item.revision, Source.Store);
    } else if (item.key.startsWith(layout.daemonPrefix)) {
      this.#applyDaemon(item);
    } else if (item.key === layout.roleChangeKey) {
      this.#applyRoleChange(item);
    } else if (item.key === layout.streamTimeoutKey) {
      this.#applyTimeout(item);
    } else if (item.key === layout.usageKeys.report) {
      this.#parts.onUsageReport(item.value);
    } else if (item.key.startsWith(layout.suspectPrefix)) {
      this.#applySuspect(item);
    }
  }

  #applySuspect(item: ports.StoredItem): void {
    const record = suspectCodec.fromStored(item.value, Date.now());
    if (record.isOk()) this.#parts.onSuspect(record.value);
    else this.#parts.log.warn("suspect-unreadable", { key: item.key, revision: item.revision, detail: record.error });
  }

  #applyTimeout({ revision, value }: ports.StoredItem): void {
    const { log, view } = this.#parts;
    const timeoutMs = timeoutKeepers.decodeTimeout(value);
    if (timeoutMs.isErr()) log.warn("stream-timeout-unreadable", { revision, detail: timeoutMs.error });
    const stored = { timeoutMs: timeoutMs.unwrapOr(0), revision, asOf: revision };
    if (view.noteStoredTimeout(stored)) log.info("stream-timeout-known", { timeoutMs: stored.timeoutMs, revision });
  }

  #noteNoTimeout(asOf: number): void {
    this.#parts.view.noteStoredTimeout({ timeoutMs: 0, revision: 0, asOf });
  }

  #applyRoleChange(item: ports.StoredItem): void {
    if (item.revision <= this.#roleChangeRevision) return;
    this.#roleChangeRevision = item.revision;
    const change = daemonEntries.parseRoleChange(item.value);
    if (change.isErr()) {
      this.#parts.log.warn("role-change-unreadable", { revision: item.revision, detail: change.error });
      return;
    }
    const { service, role, at } = change.value;
    // A daemon that has just started reads the last change, however old it is; only its age tells whether it still has
    // to delay further changes.
    const agoMs = Math.max(0, Date.now() - at);
    this.#parts.log.info("role-change-known", { service, revision: item.revision, agoMs });
    this.#parts.onRoleChange(service, role, agoMs);
  }

  #applyDaemon(item: ports.StoredItem): void {
    const { layout, view, log } = this.#parts;
    const entry = daemonEntries.parseDaemonEntry(item.key.slice(layout.daemonPrefix.length), item.value);
    if (entry.isErr()) {
      log.warn("daemon-entry-unreadable", { key: item.key, revision: item.revision, detail: entry.error });
      return;
    }
    if (!view.daemons.has(item.key)) log.info("daemon-joined", { daemon: entry.value.vm, revision: item.revision });
    view.daemons.set(item.key, entry.value);
    view.former.remove(entry.value.vm);
  }

  #removeDaemon(key: string): void {
    const entry = this.#parts.view.daemons.get(key);
    if (entry === undefined) return;
    this.#parts.view.daemons.delete(key);
    this.#parts.view.former.add(entry, performance.now());
    this.#parts.log.info("daemon-left", { daemon: entry.vm });
  }

  #report(update: serving.EndpointUpdate, source: Source, fault = "the entry has no start time"): void {
    this.#noteVersion(update);
    const { id, endpoint, change, revision, formerBornAt } = update;
    if (change === serving.EndpointChange.SetAside) {
      const service = endpoint?.service;
      this.#parts.log.warn("endpoint-entry-unreadable", {
        endpoint: id,
        service,
        revision,
        source,
        detail: fault,
      });
    } else {
      this.#parts.log.info("endpoint", {
        change,
        endpoint: id,
        service: endpoint?.service,
        address: endpoint?.address,
        role: endpoint?.role,
        version: endpoint?.softwareVersion,
        bornAt: endpoint?.bornAt,
        formerBornAt,
        revision,
        source,
      });
    }
    this.#parts.onEndpoint(update);
  }

  /** An endpoint whose entry can't be read may go on serving with the version that it had. */
  #noteVersion({ change, endpoint, id }: serving.EndpointUpdate): void {
    const { versions } = this.#parts.view;
    const now = performance.now();
    if (change === serving.EndpointChange.Gone) versions.noteGone(id, now);
    else if (change !== serving.EndpointChange.SetAside && endpoint !== undefined) versions.notePresent(endpoint, now);
  }
}
