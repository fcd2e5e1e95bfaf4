import type { Clock } from "daisyturn-utils";
import type { PeerExchange } from "../forwarding/coordination/exchange/peerExchange.js";
import { encodeAnnouncement } from "./quotaMessages.js";
import type { QuotaState } from "./quotaState.js";

/** Interval at which a home tells all processes the rate, for those that have started since. */
const announcementMilliseconds = 2_000;
/** A rate that was not named for this time may have ended. */
const maxAnnouncementAgeMilliseconds = 4_000;
/** Creates the function by which a home tells all processes the rate of a quota when it changes, and now and then. */
export function createRateAnnouncer(
    peers: Pick<PeerExchange, "self" | "listPeers" | "send">,
    clock: Clock,
): (quota: string, state: QuotaState) => void {
    return (quota, state) => {
        const now = clock.monotonicNow();
        const age = now - state.namedAt;
        const isDue = now - state.announcedAt >= announcementMilliseconds
            || state.announcedPerSecond !== state.perSecond;
        if (isDue && age <= maxAnnouncementAgeMilliseconds) {
            state.announcedAt = now;
            state.announcedPerSecond = state.perSecond;
            const datagram = encodeAnnouncement({ from: peers.self.peerId, quota, perSecond: state.perSecond, age });
            peers.listPeers().filter(({ peerId }) => peerId !== peers.self.peerId).forEach(peer =>
                peers.send(peer, datagram)
            );
        }
    };
}
