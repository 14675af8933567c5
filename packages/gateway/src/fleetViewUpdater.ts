import * as serving from "@camphorcourse/serving";
import * as daemonEntries from "./daemonEntry.js";
import type * as decisionLogs from "./decisionLog.js";
import type * as fleetViews from "./fleetView.js";
import type * as ports from "./ports.js";
import * as suspectCodec from "./suspects/suspectCodec.js";

/** Where a belief comes from. */
export enum Source {
  Store = "store",
  Peer = "peer",
  /** The endpoint itself, by the way it declined a request. */
  Endpoint = "endpoint",
}

/** Why nothing new is sent to an endpoint any more, as it is told to other daemons. */
export interface Departure {
  /** Revision that said so. */
  readonly revision: number;
  /** Start of the life that is leaving, in Unix milliseconds; undefined where the entry is gone. */
  readonly bornAt: number | undefined;
  /** Whether another writer's entry stands there. */
  readonly setAside: boolean;
}

/** What taking beliefs needs. */
export interface BeliefParts {
  readonly layout: ports.StoreLayout;
  readonly view: fleetViews.FleetView;
  readonly log: decisionLogs.DecisionLog;
  /** Called for each change of a belief about an endpoint. */
  readonly onEndpoint: (news: serving.EndpointUpdate) => void;
  /** Called when an engine's role was changed, with its service, its role, and how long ago that was, in milliseconds. */
  readonly onRoleChange: (service: string, role: serving.EngineRole, agoMs: number) => void;
  /** Takes what the key-value service keeps of a request that is rejected. */
  readonly onSuspect: (record: serving.SuspectRecord) => void;
  /** Called when a configuration has come into force. */
  readonly onConfiguration: () => void;
}

/** Decodes what the key-value service or a peer says, and changes the view by it. */
export class FleetViewUpdater {
  readonly #parts: BeliefParts;
  #roleChangeRevision = 0;

  /** @param parts - what it needs */
  constructor(parts: BeliefParts) {
    this.#parts = parts;
  }

  /** @param listing - everything that the key-value service holds */
  applyListing(listing: ports.StoreListing): void {
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
      this.#takeItem(item);
    }
    const changes = view.directory.applyListing(endpoints, listing.revision, performance.now());
    for (const { key, value, revision } of documents) {
      this.#keepDocument(key.slice(layout.endpointPrefix.length), value, revision);
    }
    for (const news of changes) this.#tell(news, Source.Store, faults.get(news.id));
    for (const key of [...view.daemons.keys()]) if (!daemons.has(key)) this.#removeDaemon(key);
  }

  /** @param event - a change in the key-value service */
  applyEvent(event: ports.StoreEvent): void {
    const { layout, view } = this.#parts;
    if (event.item !== undefined) {
      this.#takeItem(event.item);
      return;
    }
    if (event.key.startsWith(layout.daemonPrefix)) this.#removeDaemon(event.key);
    if (!event.key.startsWith(layout.endpointPrefix)) return;
    // A removal just after the service's return may be a lapse of the outage; the listing that follows tells.
    if (view.directory.isReregistrationGraceActive(performance.now())) return;
    const departure = { revision: event.revision, bornAt: undefined, setAside: false };
    this.applyDeparture(event.key.slice(layout.endpointPrefix.length), departure, Source.Store);
  }

  /**
   * @param document - the operators' document
   * @param revision - revision of its write
   * @param source - who says so
   */
  applyConfiguration(document: Uint8Array, revision: number, source: Source): void {
    const { layout, view, log } = this.#parts;
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
    });
    this.#parts.onConfiguration();
  }

  /**
   * @param id - the endpoint
   * @param value - its entry
   * @param revision - revision of the entry
   * @param source - who says so
   */
  applyEndpoint(id: string, value: Uint8Array, revision: number, source: Source): void {
    const { layout, view } = this.#parts;
    const decoded = layout.decodeEndpoint(id, value);
    const news = decoded.isOk() ? view.directory.put(decoded.value, revision) : view.directory.setAside(id, revision);
    this.#keepDocument(id, value, revision);
    if (news !== undefined) this.#tell(news, source, decoded.isErr() ? decoded.error : undefined);
  }

  /**
   * @param id - an endpoint that is leaving, gone or set aside
   * @param departure - which of these, and since when
   * @param source - who says so
   */
  applyDeparture(id: string, departure: Departure, source: Source): void {
    const { directory, endpointDocuments } = this.#parts.view;
    const { revision, bornAt, setAside } = departure;
    const news = setAside ? directory.setAside(id, revision) : directory.remove(id, revision, bornAt);
    if (directory.isSetAside(id)) endpointDocuments.delete(id);
    if (news !== undefined) this.#tell(news, source, setAside ? "another daemon has read it" : undefined);
  }

  /**
   * An endpoint says that a request was not meant for it. Its address has been
   * taken over, or its role has changed; a daemon that the news has not reached
   * would go on sending there and rejecting callers.
   *
   * @param endpoint - the endpoint as believed in
   * @param answeredBy - the endpoint that is there now, if it says so
   */
  applyMisdirection(endpoint: serving.Endpoint, answeredBy: string | undefined): void {
    const { directory } = this.#parts.view;
    const replaced = answeredBy !== undefined && answeredBy !== endpoint.id;
    const news = replaced ? directory.markReplaced(endpoint) : directory.markRoleDeclined(endpoint);
    if (news !== undefined) this.#tell(news, Source.Endpoint);
  }

  /**
   * A daemon was heard that has not been read of. One that starts while the
   * key-value service is away hears its peers but could answer none of them, so
   * nobody would tell it the configuration, and it would serve nobody until the
   * service returns. It now answers to where it is spoken to from. Where callers
   * reach it is known from its own word, or from before it left; without it no
   * caller would be sent there until its entry can be written.
   *
   * @param heard - the daemon, as it or another one says; what is not said is empty
   */
  addDiscoveredDaemon(heard: daemonEntries.DaemonEntry): void {
    const { layout, view, log } = this.#parts;
    const { vm, incarnation, peers } = heard;
    const key = `${layout.daemonPrefix}${vm}`;
    const known = view.daemons.get(key);
    if (known !== undefined && (heard.callers === "" || heard.callers === known.callers)) return;
    const before = view.former.take(vm);
    const entry = heard.callers === "" && before !== undefined ? { ...before, incarnation, peers } : heard;
    view.daemons.set(key, entry);
    log.info("daemon-joined", { daemon: vm, address: peers, callers: entry.callers, source: Source.Peer });
  }

  /**
   * Keeps an entry to be told to others if it is the one that is believed, and nothing of one that names no endpoint.
   * The failure it answers: the departure is told for a few seconds only, and a
   * daemon that starts later would be told the old entry alone, and send requests
   * to an endpoint that has left.
   */
  #keepDocument(id: string, value: Uint8Array, revision: number): void {
    const { directory, endpointDocuments } = this.#parts.view;
    if (directory.isSetAside(id)) endpointDocuments.delete(id);
    else if (directory.revisionOf(id) === revision) endpointDocuments.set(id, { value, revision });
  }

  #takeItem(item: ports.StoredItem): void {
    const { layout } = this.#parts;
    if (item.key === layout.configurationKey) {
      this.applyConfiguration(item.value, item.revision, Source.Store);
    } else if (item.key.startsWith(layout.endpointPrefix)) {
      this.applyEndpoint(item.key.slice(layout.endpointPrefix.length), item.value, item.revision, Source.Store);
    } else if (item.key.startsWith(layout.daemonPrefix)) {
      this.#takeDaemon(item);
    } else if (item.key === layout.roleChangeKey) {
      this.#takeRoleChange(item);
    } else if (item.key.startsWith(layout.suspectPrefix)) {
      this.#takeSuspect(item);
    }
  }

  #takeSuspect(item: ports.StoredItem): void {
    const word = suspectCodec.fromStored(item.value, Date.now());
    if (word.isOk()) this.#parts.onSuspect(word.value);
    else this.#parts.log.warn("suspect-unreadable", { key: item.key, revision: item.revision, detail: word.error });
  }

  #takeRoleChange(item: ports.StoredItem): void {
    if (item.revision <= this.#roleChangeRevision) return;
    this.#roleChangeRevision = item.revision;
    const change = daemonEntries.readRoleChange(item.value);
    if (change.isErr()) {
      this.#parts.log.warn("role-change-unreadable", { revision: item.revision, detail: change.error });
      return;
    }
    const { service, role, at } = change.value;
    // A daemon that has just started reads the last change however old it is, and need not rest after an old one.
    const agoMs = Math.max(0, Date.now() - at);
    this.#parts.log.info("role-change-known", { service, revision: item.revision, agoMs });
    this.#parts.onRoleChange(service, role, agoMs);
  }

  #takeDaemon(item: ports.StoredItem): void {
    const { layout, view, log } = this.#parts;
    const entry = daemonEntries.readDaemonEntry(item.key.slice(layout.daemonPrefix.length), item.value);
    if (entry.isErr()) {
      log.warn("daemon-entry-unreadable", { key: item.key, revision: item.revision, detail: entry.error });
      return;
    }
    if (!view.daemons.has(item.key)) log.info("daemon-joined", { daemon: entry.value.vm, revision: item.revision });
    view.daemons.set(item.key, entry.value);
    view.former.take(entry.value.vm);
  }

  #removeDaemon(key: string): void {
    const entry = this.#parts.view.daemons.get(key);
    if (entry === undefined) return;
    this.#parts.view.daemons.delete(key);
    this.#parts.view.former.note(entry, performance.now());
    this.#parts.log.info("daemon-left", { daemon: entry.vm });
  }

  #tell(news: serving.EndpointUpdate, source: Source, fault = "it doesn't say when the endpoint started"): void {
    const { id, endpoint, change, revision, formerBornAt } = news;
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
        bornAt: endpoint?.bornAt,
        formerBornAt,
        revision,
        source,
      });
    }
    this.#parts.onEndpoint(news);
  }
}
