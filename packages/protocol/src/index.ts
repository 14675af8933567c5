/** The messages and services between daemons, generated from `proto/`. */
export * from "./generated/peer_pb.js";
