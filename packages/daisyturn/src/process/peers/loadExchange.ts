import { type Clock, type JsonObject, toJson } from "daisyturn-utils";
import { type Membership, PeerMethod, type PeerNetwork, type ProcessIdentity } from "./peerNetwork.js";

/** Parts of the message in which peers tell each other their loads. */
export enum ExchangeSection {
    SentWork = "sent_work",
    EngineHealth = "engine_health",
    AccountUse = "account_use",
    PartnerUse = "partner_use",
    Arrivals = "arrivals",
}

/** One part of the exchange; each module that needs one registers it. */
export interface ExchangePart {
    readonly section: ExchangeSection;
    /** Whether it has something to tell that must not wait; if absent, it waits for a full round. */
    readonly isUrgent?: () => boolean;
    /** What is told in this round; undefined if there is nothing to tell. */
    collect(): JsonObject | undefined;
    receive(content: JsonObject, from: ProcessIdentity): void;
}

/**
 * Tells every live peer what this process has sent and used, in one message. Sends are told within one interval,
 * because peers would fill the same engines; the rest every few intervals.
 */
export interface LoadExchange {
    register(part: ExchangePart): void;
    /**
     * Monotonic time of a process's last round that arrived; `now` before the first. What is remembered of a peer is
     * to be taken at this time: it must not fade while it is unknown whether the peer has ended or is only cut off.
     */
    lastReceivedAt(processId: string, now: number): number;
    /** Sends one round now. */
    publish(): void;
    /** Sends rounds until `signal` is aborted. */
    run(signal: AbortSignal): Promise<void>;
}

/** What {@link createLoadExchange} needs. */
export interface LoadExchangeOptions {
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly clock: Clock;
    /** A shorter interval means less herding and tighter limits, and more messages. */
    readonly exchangeIntervalMilliseconds: number;
}

/** Sections by name. A section that the receiver doesn't know is passed over, so that versions may differ. */
interface ExchangeMessage {
    /** Grows by one with each round of one incarnation. */
    readonly round: number;
    readonly incarnation: string;
    readonly sections: { readonly [section: string]: JsonObject; };
}

/** In every n-th interval all parts are asked; in those between, only if one of them is urgent. */
const intervalsPerFullRound = 3;
/** Every n-th full round is sent even if there is nothing to tell. */
const roundsPerKeepAlive = 4;
interface ReceivedRound {
    /** Monotonic time. */
    readonly at: number;
    readonly incarnation: string;
    readonly round: number;
}

/** Creates the exchange. It registers the only handler of {@link PeerMethod.ShareLoad}. */
export function createLoadExchange(options: LoadExchangeOptions): LoadExchange {
    const { network, membership, clock } = options;
    const parts = new Map<string, ExchangePart>();
    const lastRounds = new Map<string, ReceivedRound>();
    let round = 0;

    const collect = (): ExchangeMessage | undefined => {
        const sections: { [section: string]: JsonObject; } = {};
        for (const part of parts.values()) {
            const content = part.collect();
            if (content) {
                sections[part.section] = content;
            }
        }
        round += 1;
        const isEmpty = Object.keys(sections).length === 0 && round % roundsPerKeepAlive !== 0;
        return isEmpty ? undefined : { round, incarnation: network.self.incarnation, sections };
    };

    const publish = () => {
        const message = collect();
        if (!message) {
            return;
        }
        for (const peer of membership.livePeers()) {
            network.notify(peer.processId, PeerMethod.ShareLoad, toJson(message));
        }
    };

    /** A message that was overtaken tells less than is known already, and one from an earlier run is void. */
    const isStale = (from: ProcessIdentity, message: ExchangeMessage) => {
        const last = lastRounds.get(from.processId);
        if (!last || message.incarnation > last.incarnation) {
            return false;
        }
        return message.incarnation < last.incarnation || message.round <= last.round;
    };

    const receive = (from: ProcessIdentity, parameters: JsonObject) => {
        const message = parameters as unknown as ExchangeMessage;
        if (isStale(from, message)) {
            return {};
        }
        lastRounds.set(from.processId, {
            at: clock.monotonicNow(),
            incarnation: message.incarnation,
            round: message.round,
        });
        for (const [section, content] of Object.entries(message.sections)) {
            parts.get(section)?.receive(content, from);
        }
        return {};
    };

    const run = async (signal: AbortSignal) => {
        for (let interval = 0; !signal.aborted; interval++) {
            if (interval % intervalsPerFullRound === 0 || [...parts.values()].some(part => part.isUrgent?.())) {
                publish();
            }
            await clock.sleepUntil(clock.monotonicNow() + options.exchangeIntervalMilliseconds, signal);
        }
    };

    network.handle(PeerMethod.ShareLoad, receive);
    return {
        register: part => {
            parts.set(part.section, part);
        },
        lastReceivedAt: (processId, now) => lastRounds.get(processId)?.at ?? now,
        publish,
        run,
    };
}
