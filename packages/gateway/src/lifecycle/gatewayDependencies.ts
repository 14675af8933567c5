import type * as decisionLogs from "../decisionLog.js";
import type * as ports from "../ports.js";

/** What the platform provides to a gateway. */
export interface GatewayDependencies {
  readonly store: ports.DurableStore;
  readonly layout: ports.StoreLayout;
  readonly format: ports.MessageFormat;
  readonly sink: decisionLogs.LineSink;
  /** Calls to the platform that are the duty of one daemon at a time; absent if there are none. */
  readonly dutyCalls?: ports.DutyCalls;
}
