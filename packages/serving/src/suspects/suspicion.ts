/** How far requests and prompt parts are suspected of crashing endpoints, and what daemons tell each other of it. */

/** How far a request, or a part of prompts, is suspected. */
export enum Suspicion {
  None = "none",
  /** Endpoints crashed while it ran there, as did all others that ran there. */
  Suspected = "suspected",
  /** Only one such request runs at a time in the fleet, which limits the damage and identifies the cause. */
  Isolated = "isolated",
  /** Enough endpoints crashed: it is rejected. */
  Quarantined = "quarantined",
}

/** What a suspect stands for; the higher ones concern more requests. The numbers are used in messages. */
export enum SuspectScope {
  /** A request and its retries. */
  Request = 0,
  /** Requests of one organisation whose prompts hold a part. */
  OrganisationPart = 1,
  /** All requests whose prompts hold a part. */
  Part = 2,
}

/** A suspect, as requests name it. */
export interface SuspectName {
  readonly fingerprint: string;
  readonly scope: SuspectScope;
}

/** A crash of an endpoint while a request ran there. */
export interface EndpointCrash {
  /** Identifies one incarnation of one endpoint. */
  readonly life: number;
  readonly agoMs: number;
}

/** State of a suspect as daemons publish it; as ages, since their clocks differ. */
export interface SuspectRecord extends SuspectName {
  readonly ends: readonly EndpointCrash[];
  /** Time since a run of it succeeded, if one did. */
  readonly clearedAgoMs: number | undefined;
}
