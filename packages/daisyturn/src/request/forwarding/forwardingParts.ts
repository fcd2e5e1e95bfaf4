import type { Clock, EventLog } from "daisyturn-utils";
import type { TargetConnections } from "../../connection/target/createTargetConnections.js";
import type { TargetProtocol } from "../../ports/forwardedCall.js";
import type {
    CacheBeliefs,
    CallPlacement,
    ClosedTargets,
    EventPace,
    ForwardingConfigurationManager,
    ForwardingMetrics,
    LongReadings,
    Mechanism,
    PaceView,
    PrefillRates,
    PromptDecisions,
    ReadingDemand,
    SizeCounts,
    SizeFairness,
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
    readonly caches: CacheBeliefs;
    readonly paces: PaceView;
    readonly prefillRates: PrefillRates;
    readonly eventPace: EventPace;
    readonly demand: ReadingDemand;
    readonly closed: ClosedTargets;
    readonly placement: CallPlacement;
    readonly decisions: PromptDecisions;
    readonly budget: WindowedRetryBudget;
    readonly connections: TargetConnections;
    readonly protocol: TargetProtocol;
    readonly metrics: ForwardingMetrics;
    readonly sizeCounts: SizeCounts;
    readonly sizeFairness: SizeFairness;
    readonly longReadings: LongReadings;
    readonly availabilityZone: string;
    /** What an experiment takes out. */
    readonly switchedOff: ReadonlySet<Mechanism>;
    /** Every so many-th call that was answered on time is logged; all others are in any case. */
    readonly sampledCalls: number;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}
