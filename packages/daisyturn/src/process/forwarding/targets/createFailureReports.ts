import type { Clock } from "daisyturn-utils";

/** Targets that other processes have recently reported as failing. */
export interface FailureReports {
    /** Records a report by a member of the same group or, if `isGroup`, by another group's coordinator. */
    record(targetIds: readonly string[], isGroup: boolean): void;
    isReported(targetId: string): boolean;
    /** Lists the targets reported by members of the same group. */
    listByMembers(): readonly string[];
}

/** How long a report stays valid after it is received; longer than the interval between reports. */
const reportValidityMilliseconds = 2_500;

/** Creates the record of one process. */
export function createFailureReports(clock: Clock): FailureReports {
    /** Monotonic expiry times of reports by target, from members of the same group and from other groups. */
    const memberReportExpiry = new Map<string, number>();
    const groupReportExpiry = new Map<string, number>();

    const isValid = (expiry: ReadonlyMap<string, number>, targetId: string) =>
        (expiry.get(targetId) ?? -Infinity) > clock.monotonicNow();

    return {
        record: (targetIds, isGroup) => {
            const expiry = isGroup ? groupReportExpiry : memberReportExpiry;
            expiry.forEach((expiresAt, targetId) => expiresAt <= clock.monotonicNow() && expiry.delete(targetId));
            targetIds.forEach(targetId => expiry.set(targetId, clock.monotonicNow() + reportValidityMilliseconds));
        },
        isReported: targetId => isValid(memberReportExpiry, targetId) || isValid(groupReportExpiry, targetId),
        listByMembers: () => [...memberReportExpiry.keys()].filter(targetId => isValid(memberReportExpiry, targetId)),
    };
}
