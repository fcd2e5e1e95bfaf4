import type { Clock } from "daisyturn-utils";
import type { PeerAddress } from "./peerChannel.js";

/** The processes that tell this one what they have under way, since they take it for a coordinator. */
export interface Members {
    /** Notes that a process has told it. @returns whether it had not before, or not for long */
    record(peerId: string, address: PeerAddress): boolean;
    list(): readonly PeerAddress[];
    /** Whether all of them have had the time to tell it. */
    isComplete(): boolean;
}

/** Processes tell several times in this time, also while nothing changes. */
const memberExpiryMilliseconds = 3_200;
/** Within this time after the first one, all have told. */
const completeMilliseconds = 1_300;

interface Member {
    readonly address: PeerAddress;
    /** Monotonic time. */
    readonly lastContactAt: number;
}

/** Creates the members as one process hears them. */
export function createMembers(clock: Clock): Members {
    const members = new Map<string, Member>();
    /** Monotonic time since which there have always been some. */
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
        isComplete: () => since !== undefined && clock.monotonicNow() - since >= completeMilliseconds,
    };
}
