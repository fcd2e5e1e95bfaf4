import { type Clock, type JsonObject, toJson } from "daisyturn-utils";
import { type Membership, PeerMethod, type PeerNetwork, type ProcessIdentity } from "./peerNetwork.js";

/** Sections of the message in which peers exchange their loads. */
export enum ExchangeSection {
    SentWork = "sent_work",
    EngineHealth = "engine_health",
    AccountUse = "account_use",
    PartnerUse = "partner_use",
    Arrivals = "arrivals",
    CrashEvidence = "crash_evidence",
}

/** Source and receiver of one section of the exchange. */
export interface ExchangePart {
    readonly section: ExchangeSection;
    /** Returns whether the section must be sent before the next full round. By default, it waits. */
    readonly isUrgent?: () => boolean;
    /** Returns the content to send in this round; undefined if there is none. */
    collect(): JsonObject | undefined;
    receive(content: JsonObject, from: ProcessIdentity): void;
}

/**
 * Publishes the sends and the resource use of this process to every live peer, in one message. Sends are published
 * within one interval, because peers would otherwise choose the same engines. The rest is published every few
 * intervals.
 */
export interface LoadExchange {
    register(part: ExchangePart): void;
    /**
     * Returns the monotonic time at which the last round of a process was received; `now` before the first. The state
     * of a peer must be evaluated as of this time: it must not decay while the peer may have ended or may only be
     * partitioned.
     */
    lastReceivedAt(processId: string, now: number): number;
    /** Sends one round now. */
    publish(): void;
    /** Sends rounds until `signal` is aborted. */
    run(signal: AbortSignal): Promise<void>;
}

export interface LoadExchangeOptions {
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly clock: Clock;
    /** A shorter interval gives less herding and tighter limits, but more messages. */
    readonly exchangeIntervalMilliseconds: number;
}

/** Message of one round. Receivers ignore unknown sections, so that versions may differ. */
interface ExchangeMessage {
    /** Increases by one with each round of an incarnation. */
    readonly round: number;
    readonly incarnation: string;
    readonly sections: { readonly [section: string]: JsonObject; };
}

/** Every n-th interval has a full round; the others have a round only if a part is urgent. */
const intervalsPerFullRound = 3;
/** Every n-th round is sent even if it is empty. */
const roundsPerKeepAlive = 4;
interface ReceivedRound {
    /** Monotonic time of receipt. */
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

    /** Returns whether a message is outdated: overtaken by a later one, or sent by an earlier incarnation. */
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
