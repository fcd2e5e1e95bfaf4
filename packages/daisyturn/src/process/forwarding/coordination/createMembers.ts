import type { Clock } from "daisyturn-utils";
import type { PeerAddress } from "./peerChannel.js";

/** The processes that report their load to this one, because they regard it as a coordinator. */
export interface Members {
    /** Records a load report. @returns whether the process is new, or its previous report has expired */
    record(peerId: string, address: PeerAddress): boolean;
    list(): readonly PeerAddress[];
    /** Whether a process reports to this one from the given host. */
    has(peerId: string, host: string): boolean;
    /** Whether any process reports to this one from the given host. */
    hasHost(host: string): boolean;
    /** Whether all members have had enough time to report. */
    isComplete(): boolean;
}

/** Processes report several times within this time, even while nothing changes. */
const memberExpiryMilliseconds = 3_200;
/** All members report within this time after the first one. */
const completeMilliseconds = 1_300;

interface Member {
    readonly address: PeerAddress;
    /** Monotonic time. */
    readonly lastContactAt: number;
}

export function createMembers(clock: Clock): Members {
    const members = new Map<string, Member>();
    /** Monotonic time since which there has always been at least one member. */
    let since: number | undefined;

    const removeExpired = () => {
        const oldest = clock.monotonicNow() - memberExpiryMilliseconds;
        members.forEach(({ lastContactAt }, peerId) => lastContactAt < oldest && members.delete(peerId));
        if (members.size === 0) {
            since = undefined;
        }
    };

    return {
        record: (peerId, address) => {
            removeExpired();
            const isNew = !members.has(peerId);
            members.set(peerId, { address, lastContactAt: clock.monotonicNow() });
            since ??= clock.monotonicNow();
            return isNew;
        },
        list: () => {
            removeExpired();
            return [...members.values()].map(({ address }) => address);
        },
        has: (peerId, host) => members.get(peerId)?.address.host === host,
        hasHost: host => [...members.values()].some(({ address }) => address.host === host),
        isComplete: () => since !== undefined && clock.monotonicNow() - since >= completeMilliseconds,
    };
}
