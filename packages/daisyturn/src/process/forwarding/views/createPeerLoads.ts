import type { Clock } from "daisyturn-utils";
import type { WorkUnderWay } from "./workUnderWay.js";

/** What all peers together have under way, by target. */
export interface PeerLoads {
    /**
     * Replaces what a peer told before.
     * @param forgottenAt monotonic time after which it no longer counts
     */
    record(peerId: string, underWay: readonly WorkUnderWay[], forgottenAt: number): void;
    forget(peerId: string): void;
    /** Undefined while no peer is heard. */
    sum(targetId: string): PeerLoad | undefined;
    /** The sums of all targets at which there is any. */
    list(): readonly WorkUnderWay[];
}

/** What peers have under way at one target. */
export type PeerLoad = Omit<WorkUnderWay, "targetId">;

const nothing: PeerLoad = { calls: 0, work: 0, deferredWork: 0, tokens: 0 };

/**
 * Creates the sums of one process. They are kept up to date with each message: every placement asks for each engine, and
 * adding up 67 peers for 98 engines each time took a third of its time.
 */
export function createPeerLoads(clock: Clock): PeerLoads {
    const peers = new Map<string, { readonly forgottenAt: number; readonly underWay: readonly WorkUnderWay[]; }>();
    const sums = new Map<string, PeerLoad>();
    let firstForgottenAt = Infinity;

    const add = (underWay: readonly WorkUnderWay[], sign: 1 | -1) => {
        for (const told of underWay) {
            const known = sums.get(told.targetId) ?? nothing;
            const sum: PeerLoad = {
                calls: known.calls + sign * told.calls,
                work: known.work + sign * told.work,
                deferredWork: known.deferredWork + sign * told.deferredWork,
                tokens: known.tokens + sign * told.tokens,
            };
            if (Object.values(sum).every(amount => amount === 0)) {
                sums.delete(told.targetId);
            }
            else {
                sums.set(told.targetId, sum);
            }
        }
    };

    const forget = (peerId: string) => {
        add(peers.get(peerId)?.underWay ?? [], -1);
        peers.delete(peerId);
    };

    const forgetOld = () => {
        const now = clock.monotonicNow();
        if (now <= firstForgottenAt) {
            return;
        }
        [...peers].filter(([, { forgottenAt }]) => forgottenAt < now).forEach(([peerId]) => forget(peerId));
        firstForgottenAt = Math.min(...[...peers.values()].map(({ forgottenAt }) => forgottenAt));
    };

    return {
        forget,
        record: (peerId, underWay, forgottenAt) => {
            forget(peerId);
            peers.set(peerId, { forgottenAt, underWay });
            add(underWay, 1);
            firstForgottenAt = Math.min(firstForgottenAt, forgottenAt);
        },
        sum: targetId => {
            forgetOld();
            return peers.size > 0 ? sums.get(targetId) ?? nothing : undefined;
        },
        list: () => {
            forgetOld();
            return [...sums].map(([targetId, sum]) => ({ targetId, ...sum }));
        },
    };
}
