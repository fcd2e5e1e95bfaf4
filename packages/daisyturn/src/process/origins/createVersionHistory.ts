import type { Clock } from "daisyturn-utils";
import type { TargetList } from "../forwarding/targets/createTargetList.js";
import type { VersionRecord } from "./createVersionRecord.js";

/** The software versions of the targets that may have begun the streams that are open now, as far as this process knows. */
export interface VersionHistory {
    /** Lists the software versions that targets of a service have now or had a while ago. */
    list(service: string): readonly string[];
    /** Whether the versions of all targets are known for as long as callers resume streams. */
    isComplete(): boolean;
    /** Asks the store for what other processes have recorded. @returns whether it has answered */
    confirm(): Promise<boolean>;
}

/**
 * Creates the history from what this process has seen and from the record in the store. It reaches back as far as the
 * longest time for which callers resume their streams.
 */
export function createVersionHistory(
    targets: Pick<TargetList, "isKnown" | "list" | "onRemoved">,
    record: Pick<VersionRecord, "list" | "isComplete" | "longestLifetime" | "confirm">,
    clock: Clock,
): VersionHistory {
    /** Monotonic time at which the last target of a version was removed, by service and version. */
    const removedAt = new Map<string, Map<string, number>>();

    targets.onRemoved((targetId, { target: { service, softwareVersion } }) => {
        const versions = removedAt.get(service) ?? new Map<string, number>();
        removedAt.set(service, versions.set(softwareVersion, clock.monotonicNow()));
    });

    const removeOld = (service: string, oldest: number) => {
        const versions = removedAt.get(service);
        versions?.forEach((at, version) => at < oldest && versions.delete(version));
    };

    const list = (service: string) => {
        removeOld(service, clock.monotonicNow() - record.longestLifetime());
        const listed = targets.list(service).map(({ softwareVersion }) => softwareVersion);
        return [...new Set([...listed, ...removedAt.get(service)?.keys() ?? [], ...record.list(service)])];
    };

    return {
        list,
        isComplete: () => targets.isKnown() && record.isComplete(),
        confirm: record.confirm,
    };
}
