import type { Clock, EventLog } from "daisyturn-utils";
import {
    type Coordination,
    createQuotas,
    createTargetQuotas,
    type ForwardingParts,
    recordAnnouncedLimit,
} from "daisyturn/forwarding";

/** What {@link createProcessQuotas} needs. */
export interface ProcessQuotasOptions {
    readonly parts: Pick<ForwardingParts, "limits" | "availability" | "metrics">;
    readonly coordination: Pick<Coordination, "peers" | "countProcesses" | "refreshPeers">;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Aborted when the process ends. */
    readonly signal: AbortSignal;
}

/** Creates the part of one process in the quotas of the fleet, and the quotas of targets that name a limit. */
export function createProcessQuotas({ parts, coordination, clock, eventLog, signal }: ProcessQuotasOptions) {
    const { limits, availability, metrics } = parts;
    const quotas = createQuotas({
        peers: coordination.peers,
        countProcesses: coordination.countProcesses,
        refreshPeers: coordination.refreshPeers,
        onAnnounced: rate => recordAnnouncedLimit(limits, rate),
        clock,
        eventLog,
        signal,
    });
    const recordToken = (result: string) => metrics.recordToken(result);
    return { quotas, targetQuotas: createTargetQuotas({ quotas, limits, availability, recordToken, clock }) };
}
