import type { Clock, EventLog } from "daisyturn-utils";
import type { AnswerMemory } from "../../connection/bytes/createAnswerMemory.js";
import type { ReadBarrier } from "../../connection/createReadBarrier.js";
import type { TargetConnections } from "../../connection/target/createTargetConnections.js";
import type { TargetProtocol } from "../../ports/forwardedCall.js";
import type { CrashGuard } from "../../process/crashes/index.js";
import type {
    ArrivalCounts,
    CacheEstimates,
    CallPlacement,
    ClosedTargets,
    EventIntervals,
    ForwardingConfigurationManager,
    ForwardingMetrics,
    FoundOrigin,
    LongPrefillTimes,
    Mechanism,
    PrefillDemand,
    PrefillRates,
    PromptDecisions,
    RunDurations,
    SizeCounts,
    SizeFairness,
    SlowdownEstimates,
    StageReturns,
    TargetAvailability,
    TargetContinuity,
    TargetHealth,
    TargetLimits,
    TargetLinks,
    TargetList,
    TargetLoads,
    TargetSpeeds,
    WindowedRetryBudget,
} from "../../process/forwarding/index.js";
import type { StreamOrigins } from "../../process/origins/index.js";
import type { TargetQuotas } from "../../process/quotas/index.js";
import type { PlainShortage } from "../../process/shortage/index.js";

/** The parts of the process that serving a forwarded call uses. */
export interface ForwardingParts {
    readonly configurationManager: Pick<ForwardingConfigurationManager, "current">;
    /** Whether this process would know by now of a key that was revoked as long ago as the settings allow. */
    readonly areKeysCurrent: () => boolean;
    readonly targets: TargetList;
    readonly links: Pick<TargetLinks, "isLost">;
    readonly loads: TargetLoads;
    readonly speeds: TargetSpeeds;
    readonly health: TargetHealth;
    readonly caches: CacheEstimates;
    readonly slowdowns: SlowdownEstimates;
    readonly prefillRates: PrefillRates;
    readonly eventIntervals: EventIntervals;
    readonly demand: PrefillDemand;
    readonly leastDemand: PrefillDemand;
    readonly firstReads: PrefillDemand;
    readonly closed: ClosedTargets;
    readonly availability: TargetAvailability;
    readonly continuity: TargetContinuity;
    readonly limits: TargetLimits;
    /** Takes the tokens of targets that name a limit. */
    readonly targetQuotas: TargetQuotas;
    /** Holds plain calls back while all targets of their service are full. */
    readonly shortage: PlainShortage;
    readonly stageReturns: StageReturns;
    readonly crashGuard: CrashGuard;
    readonly origins: StreamOrigins;
    /** Finds which targets may continue a stream that is resumed at a service; undefined if no process knows. */
    readonly findOrigin: (streamId: string, service: string) => Promise<FoundOrigin | undefined>;
    readonly placement: CallPlacement;
    readonly decisions: PromptDecisions;
    readonly budget: WindowedRetryBudget;
    /** Asks other processes to lease repeats for a service to this one; resolves whether any has before the deadline. */
    readonly requestRetryLease: (service: string, deadline: number) => Promise<boolean>;
    readonly connections: TargetConnections;
    readonly answerMemory: AnswerMemory;
    readonly readBarrier: ReadBarrier;
    readonly protocol: TargetProtocol;
    readonly metrics: ForwardingMetrics;
    /** Counts a call of a client account that began to run at a monotonic time; absent if usage is not reported. */
    readonly recordUsage?: (account: string, beganAt: number) => void;
    readonly arrivalCounts: ArrivalCounts;
    readonly sizeCounts: SizeCounts;
    readonly runDurations: RunDurations;
    readonly sizeFairness: SizeFairness;
    readonly longPrefillTimes: LongPrefillTimes;
    readonly availabilityZone: string;
    /** Mechanisms that an experiment switches off. */
    readonly switchedOff: ReadonlySet<Mechanism>;
    /** One in this many calls that were answered on time is logged; all other calls are always logged. */
    readonly sampledCalls: number;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}
