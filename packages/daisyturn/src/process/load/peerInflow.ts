import { type Clock, createDecayingRate, type DecayingRate } from "daisyturn-utils";
import type { LoadExchange, Membership } from "../peers/index.js";

/**
 * What peers have probably sent since they last told. Between two exchanges every process sees the engines' queues
 * drain; if each took the whole room, together they would take it many times over.
 */
export interface PeerInflow {
    /** Counts milliseconds of prefill that a peer told of. */
    note(processId: string, prefillTime: number): void;
    /** Milliseconds of prefill that live peers have probably sent since they last told, over all engines. */
    untold(): number;
}

/** What {@link createPeerInflow} needs. */
export interface PeerInflowOptions {
    readonly exchange: LoadExchange;
    readonly membership: Membership;
    readonly clock: Clock;
}

const memoryMilliseconds = 1_000;
/** A peer that has not told for longer may be gone; no more than this is guessed. */
const longestGuessMilliseconds = 1_000;

/** Creates an estimate that knows of no peer. */
export function createPeerInflow(options: PeerInflowOptions): PeerInflow {
    const { exchange, membership, clock } = options;
    const rates = new Map<string, DecayingRate>();

    const untoldBy = (processId: string, now: number) => {
        const rate = rates.get(processId);
        const silence = Math.min(longestGuessMilliseconds, now - exchange.lastReceivedAt(processId, now));
        return rate ? rate.perSecond(now) / 1_000 * silence : 0;
    };

    return {
        note: (processId, prefillTime) => {
            const now = clock.monotonicNow();
            const rate = rates.get(processId) ?? createDecayingRate(memoryMilliseconds, now);
            rates.set(processId, rate);
            rate.add(prefillTime, now);
        },
        untold: () => {
            const now = clock.monotonicNow();
            return membership.livePeers().reduce((sum, peer) => sum + untoldBy(peer.processId, now), 0);
        },
    };
}
