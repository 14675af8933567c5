import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as peerTables from "../peerTable.js";
import * as peerWorks from "../peerWork.js";
import * as suspectCodec from "../suspects/suspectCodec.js";
import type * as otherDaemonsModule from "./otherDaemons.js";
import type * as peerCalls from "./peerCalls.js";
import type * as peerLinkParts from "./peerLinkParts.js";
import type * as recentChangesModule from "./recentChanges.js";

/** Messages carry capacity in whole thousandths of a core. */
const THOUSANDTHS = 1_000;

/** Dependencies of {@link NewsSender}. */
export interface NewsSenderParts extends Pick<
  peerLinkParts.PeerLinkParts,
  "entry" | "view" | "suspects" | "log" | "storeSilentMs" | "followsClosely"
> {
  readonly peerTable: peerTables.PeerTable;
  readonly peerClient: Pick<peerCalls.PeerClient, "send">;
  readonly otherDaemons: otherDaemonsModule.OtherDaemons;
  readonly recentChanges: recentChangesModule.RecentChanges;
}

/** Sends news over RPC to daemons that are behind or that the key-value service doesn't answer. */
export class NewsSender {
  readonly #parts: NewsSenderParts;

  /** @param parts - dependencies */
  constructor(parts: NewsSenderParts) {
    this.#parts = parts;
  }

  /** @param now - current time in milliseconds */
  send(now: number): void {
    const { log, otherDaemons, peerClient, peerTable, view } = this.#parts;
    const sender: peerTables.SenderState = {
      configurationRevision: view.configurationRevision,
      storeAnswers: this.#parts.storeSilentMs() < peerTables.STORE_SILENT_MS,
      followsClosely: this.#parts.followsClosely(),
    };
    for (const peer of peerTable.selectReceivers(sender, now)) {
      const address = otherDaemons.addressOf(peer.vm);
      if (address === undefined) continue;
      log.info("tell-peer", { peer: peer.vm, has: peer.configurationRevision, tells: view.configurationRevision });
      peerClient.send(address, this.#newsFor(peer, now)).catch((error: unknown) => {
        log.warn("tell-peer-failed", { peer: peer.vm, detail: String(error) });
      });
    }
  }

  #newsFor(peer: peerTables.PeerState, now: number): Omit<messages.News, "$typeName" | "$unknown"> {
    const { view, entry } = this.#parts;
    const behind = peer.configurationRevision < view.configurationRevision;
    // The list of endpoints is many times larger than the configuration. A peer that the key-value service answers
    // reads the list there, and learns of changes from heartbeats.
    const needsList = peer.configurationRevision === 0 || peer.storeSilentMs > peerTables.STORE_SILENT_MS;
    return {
      vm: entry.vm,
      configurationRevision: BigInt(view.configurationRevision),
      configuration: behind ? (view.configurationDocument ?? new Uint8Array()) : new Uint8Array(),
      endpoints: needsList ? this.#allEntries() : [],
      departures: this.#parts.recentChanges.allDepartures(now),
      daemons: peer.configurationRevision === 0 ? this.#liveDaemons(now) : [],
      suspects: this.#parts.suspects.snapshotRecords(now).map(suspectCodec.toMessage),
    };
  }

  #allEntries(): messages.EndpointEntry[] {
    return [...this.#parts.view.endpointDocuments].map(([id, { value, revision }]) =>
      protobuf.create(messages.EndpointEntrySchema, { id, value, revision: BigInt(revision) }),
    );
  }

  /**
   * Addresses of the live daemons, which a daemon that has just started would otherwise read from the key-value
   * service.
   */
  #liveDaemons(now: number): messages.DaemonAddress[] {
    const { entry, otherDaemons, peerTable } = this.#parts;
    const live = new Set(peerTable.live(now).map((peer) => peer.vm)).add(entry.vm);
    return [...otherDaemons.entries(), entry]
      .filter((daemon) => live.has(daemon.vm))
      .map(({ capacity, ...daemon }) => {
        const capacityThousandths = peerWorks.toUint32(capacity * THOUSANDTHS);
        return protobuf.create(messages.DaemonAddressSchema, { ...daemon, capacityThousandths });
      });
  }
}
