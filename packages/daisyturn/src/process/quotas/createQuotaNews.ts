import type { Clock } from "daisyturn-utils";
import type { PeerExchange } from "../forwarding/coordination/exchange/peerExchange.js";
import { encodeNews } from "./quotaMessages.js";
import type { QuotaState } from "./quotaState.js";

/** Interval at which a home tells all processes the rate, for those that have started since. */
const newsMilliseconds = 2_000;
/** A rate that nobody has named for this time may have ended. */
const maxNewsAgeMilliseconds = 4_000;
/** Creates the function by which a home tells all processes the rate of a quota when it changes, and now and then. */
export function createQuotaNews(
    peers: Pick<PeerExchange, "self" | "listPeers" | "send">,
    clock: Clock,
): (quota: string, state: QuotaState) => void {
    return (quota, state) => {
        const now = clock.monotonicNow();
        const age = now - state.namedAt;
        const isDue = now - state.toldAt >= newsMilliseconds || state.toldPerSecond !== state.perSecond;
        if (isDue && age <= maxNewsAgeMilliseconds) {
            state.toldAt = now;
            state.toldPerSecond = state.perSecond;
            const datagram = encodeNews({ from: peers.self.peerId, quota, perSecond: state.perSecond, age });
            peers.listPeers().filter(({ peerId }) => peerId !== peers.self.peerId).forEach(peer =>
                peers.send(peer, datagram)
            );
        }
    };
}
