import type { Clock, EventLog } from "daisyturn-utils";
import type { TargetConnections } from "../../connection/target/createTargetConnections.js";
import type { TargetProtocol } from "../../ports/forwardedCall.js";
import type { CacheBeliefs } from "../../process/forwarding/createCacheBeliefs.js";
import type { CallPlacement } from "../../process/forwarding/createCallPlacement.js";
import type { ClosedTargets } from "../../process/forwarding/createClosedTargets.js";
import type { ForwardingKeeper } from "../../process/forwarding/createForwardingKeeper.js";
import type { PaceView } from "../../process/forwarding/createPaceView.js";
import type { ReadingDemand } from "../../process/forwarding/createReadingDemand.js";
import type { TargetHealth } from "../../process/forwarding/createTargetHealth.js";
import type { TargetList } from "../../process/forwarding/createTargetList.js";
import type { TargetLoads } from "../../process/forwarding/createTargetLoads.js";
import type { WindowedRetryBudget } from "../../process/forwarding/createWindowedRetryBudget.js";
import type { ForwardingMetrics } from "../../process/forwarding/forwardingMetrics.js";

/** The parts of the process that a forwarded call passes through. */
export interface ForwardingParts {
    readonly keeper: Pick<ForwardingKeeper, "current">;
    readonly targets: TargetList;
    readonly loads: TargetLoads;
    readonly health: TargetHealth;
    readonly caches: CacheBeliefs;
    readonly paces: PaceView;
    readonly demand: ReadingDemand;
    readonly closed: ClosedTargets;
    readonly placement: CallPlacement;
    readonly budget: WindowedRetryBudget;
    readonly connections: TargetConnections;
    readonly protocol: TargetProtocol;
    readonly metrics: ForwardingMetrics;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}
