import { type Clock, EventKind, type EventLog, type Random } from "daisyturn-utils";
import type { PeerLink } from "./peerLinks.js";

/** Upper bound of the delay before a reconnect. It doubles with each consecutive failure, up to the maximum. */
const minBackoffMilliseconds = 100;
const maxBackoffMilliseconds = 5_000;

export interface PeerDialerOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    /** Time limit of one attempt. */
    readonly limitMilliseconds: number;
    /**
     * Connects and performs the handshake. Resolves with the reason as a text, or rejects, if that fails. The signal is
     * aborted at the deadline.
     */
    readonly dial: (address: string, deadline: number, signal: AbortSignal) => Promise<PeerLink | string>;
    /** Finds an open link with this address, such as one that the peer has opened from its side. */
    readonly findLink: (address: string) => PeerLink | undefined;
}

/** Runs one task for each address that is to be connected. */
export interface PeerDialer {
    connect(address: string): void;
    disconnect(address: string): void;
    stop(): void;
}

export function createPeerDialer(options: PeerDialerOptions): PeerDialer {
    const { clock, random, eventLog, limitMilliseconds, dial, findLink } = options;
    const tasks = new Map<string, AbortController>();

    /** The task of one address: connects, waits until the connection ends, and reconnects. */
    const maintainConnection = async (address: string, signal: AbortSignal) => {
        let failures = 0;
        let lastReason: string | undefined;
        while (!signal.aborted) {
            const link = findLink(address) ?? await dialWithDeadline(address, signal);
            if (typeof link !== "string") {
                failures = 0;
                lastReason = undefined;
                await link.connection.closed;
            }
            else {
                failures += 1;
                if (link !== lastReason && !signal.aborted) {
                    eventLog.record(EventKind.Fault, { part: "peer_connection", address, reason: link });
                }
                lastReason = link;
            }
            await clock.sleepUntil(clock.monotonicNow() + computeBackoff(failures), signal);
        }
    };

    const dialWithDeadline = async (address: string, signal: AbortSignal): Promise<PeerLink | string> => {
        const deadline = clock.monotonicNow() + limitMilliseconds;
        const expiry = new AbortController();
        const abortSignal = AbortSignal.any([signal, expiry.signal]);
        void clock.sleepUntil(deadline, abortSignal).then(() => expiry.abort());
        try {
            return await dial(address, deadline, abortSignal);
        }
        catch (error) {
            return error instanceof Error ? error.message : String(error);
        }
        finally {
            expiry.abort();
        }
    };

    const computeBackoff = (failures: number) => {
        const limit = Math.min(maxBackoffMilliseconds, minBackoffMilliseconds * 2 ** failures);
        return limit / 2 + random.fraction() * limit / 2;
    };

    return {
        connect: address => {
            if (!tasks.has(address)) {
                const task = new AbortController();
                tasks.set(address, task);
                void maintainConnection(address, task.signal);
            }
        },
        disconnect: address => {
            tasks.get(address)?.abort();
            tasks.delete(address);
        },
        stop: () => {
            tasks.forEach(task => task.abort());
            tasks.clear();
        },
    };
}
