import type { Clock, EventLog } from "daisyturn-utils";
import type { TargetConnections } from "../../connection/target/createTargetConnections.js";
import type { TargetProtocol } from "../../ports/forwardedCall.js";
import type {
    CacheEstimates,
    CallPlacement,
    ClosedTargets,
    EventIntervals,
    ForwardingConfigurationManager,
    ForwardingMetrics,
    LongPrefillTimes,
    Mechanism,
    PrefillDemand,
    PrefillRates,
    PromptDecisions,
    SizeCounts,
    SizeFairness,
    SlowdownEstimates,
    TargetHealth,
    TargetList,
    TargetLoads,
    WindowedRetryBudget,
} from "../../process/forwarding/index.js";

/** The parts of the process that a forwarded call passes through. */
export interface ForwardingParts {
    readonly configurationManager: Pick<ForwardingConfigurationManager, "current">;
    readonly targets: TargetList;
    readonly loads: TargetLoads;
    readonly health: TargetHealth;
    readonly caches: CacheEstimates;
    readonly slowdowns: SlowdownEstimates;
    readonly prefillRates: PrefillRates;
    readonly eventIntervals: EventIntervals;
    readonly demand: PrefillDemand;
    readonly closed: ClosedTargets;
    readonly placement: CallPlacement;
    readonly decisions: PromptDecisions;
    readonly budget: WindowedRetryBudget;
    readonly connections: TargetConnections;
    readonly protocol: TargetProtocol;
    readonly metrics: ForwardingMetrics;
    readonly sizeCounts: SizeCounts;
    readonly sizeFairness: SizeFairness;
    readonly longPrefillTimes: LongPrefillTimes;
    readonly availabilityZone: string;
    /** What an experiment takes out. */
    readonly switchedOff: ReadonlySet<Mechanism>;
    /** Every so many-th call that was answered on time is logged; all others are in any case. */
    readonly sampledCalls: number;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}
