import { type Clock, type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { ConnectionBreak, type TargetLinks } from "../../process/forwarding/index.js";
import type { ReadTurns } from "../bytes/createReadTurns.js";
import type { ReadBarrier } from "../createReadBarrier.js";
import type { AnswerEnd } from "./answerEnd.js";
import { createSpareSockets } from "./createSpareSockets.js";
import type { DialedConnection, TargetDialer } from "./createTargetDialer.js";
import { openTargetConnection, type TargetConnection, type TargetSend } from "./openTargetConnection.js";
import { ProbeResult } from "./probeAddress.js";

/** Which open connections may be reused for a call. */
export enum ConnectionPolicy {
    /** Any open connection. */
    Reuse = "reuse",
    /**
     * Only a connection that has just delivered a complete answer, or else a new one. For calls that can't be repeated
     * if the connection turns out to be dead.
     */
    RecentlyVerified = "proven",
}

/** A pool of connections to all targets. */
export interface TargetConnections {
    send(address: string, policy: ConnectionPolicy, send: TargetSend): Promise<Result<AnswerEnd, Failure>>;
    /**
     * Whether an address still accepts connections, and the peer that carried the last one is still there. The connection
     * that shows the former carries the next call, if there is one soon.
     */
    confirmListening(address: string, relayId: string | undefined): Promise<boolean>;
    /** Closes the idle connections to an address, for a target that was removed or does not answer. */
    closeIdle(address: string): void;
    close(): void;
}

/** An answer within this time shows that a connection still works in both directions. */
const recentAnswerMilliseconds = 250;
/** Idle connections retained for each target. More would only accumulate after a load peak. */
const maxIdleConnections = 8;
/**
 * A peer that stops can't tell whether a call is under way on a connection that it carries, so it carries each one until it
 * is closed here, or cuts it at its end. Far shorter than the grace period of a process.
 */
const maxRelayedMilliseconds = 2_000;
/** Characters of the identifiers that are retained for each connection, which is not reused after that. */
const maxIdentifierCharacters = 8_192;

/**
 * A call waits for a turn of the event loop where its connection was idle. If the process is paused in that turn, the caller
 * may have left before the next read.
 */
const unreadFailure = notRun(FailureReason.Overloaded, "The process has not read from its connections for too long.");

/** Learns what the connections show of the targets at an address. */
export interface ConnectionObserver {
    /** A connection broke, possibly reported more than once, or could not be opened. */
    recordBroken(address: string, how: ConnectionBreak): void;
    /** The target has taken a connection that was begun at a monotonic time. */
    recordOpened(address: string, dialedAt: number): void;
}

/**
 * The calls that each connection has carried. A target may send an answer once more, where the next one is due. Its
 * identifier tells it apart, unless the same call is under way again on the same connection.
 */
interface CarriedCalls {
    has(connection: TargetConnection, callId: string | undefined): boolean;
    record(connection: TargetConnection, callId: string | undefined): void;
    /** Whether no more calls can be remembered, so that the connection must not be reused. */
    isFull(connection: TargetConnection): boolean;
}

/** Creates a pool that opens connections on demand and retains them for as long as the target allows. */
export function createTargetConnections(
    clock: Clock,
    links: Pick<TargetLinks, "recordAnswered" | "isLost" | "hasLost">,
    dialer: Pick<TargetDialer, "dial" | "retryLink" | "probePeer">,
    readBarrier: ReadBarrier,
    turns: ReadTurns,
    observer: ConnectionObserver = { recordBroken: () => undefined, recordOpened: () => undefined },
): TargetConnections {
    const idleByAddress = new Map<string, TargetConnection[]>();
    const spareSockets = createSpareSockets(recentAnswerMilliseconds);
    const carriedCalls = createCarriedCalls();
    let connectionCount = 0;

    /** Prefers the most recently used connection, which most likely still works; surplus ones idle until they close. */
    const acquire = (address: string, policy: ConnectionPolicy, callId: string | undefined): TargetConnection => {
        const idle = idleByAddress.get(address) ?? [];
        for (let index = idle.length - 1; index >= 0; index--) {
            const candidate = idle[index];
            if (
                candidate?.isAlive() && !carriedCalls.has(candidate, callId) && isReusable(address, candidate, policy)
            ) {
                idle.splice(index, 1);
                return candidate;
            }
        }
        return open(address);
    };

    /**
     * A connection over a lost link may have fallen silent, and a peer may close one that it carries. While any link is
     * lost, others may be too.
     */
    const isReusable = (address: string, connection: TargetConnection, policy: ConnectionPolicy) => {
        const isRelayed = connection.relayId() !== undefined;
        if (isRelayed && !links.isLost(address)) {
            return false;
        }
        const isAnyReusable = policy === ConnectionPolicy.Reuse && !isRelayed && !links.hasLost();
        return isAnyReusable || isRecentlyVerified(connection);
    };

    const isRelayOver = (connection: TargetConnection) =>
        connection.relayId() !== undefined && clock.monotonicNow() - connection.openedAt > maxRelayedMilliseconds;

    const isRecentlyVerified = (connection: TargetConnection) =>
        clock.monotonicNow() - (connection.lastAnsweredAt() ?? -Infinity) <= recentAnswerMilliseconds;

    const dial = async (address: string) => {
        const dialedAt = clock.monotonicNow();
        const dialed = await dialer.dial(address);
        if (dialed.isOk) {
            observer.recordOpened(address, dialedAt);
        }
        else if (dialed.error.reason === FailureReason.TargetFailed) {
            observer.recordBroken(address, ConnectionBreak.Opening);
        }
        return dialed;
    };

    const open = (address: string): TargetConnection => {
        const connection = openTargetConnection({
            address,
            connectionNumber: ++connectionCount,
            now: () => clock.monotonicNow(),
            turns,
            dial: async () => {
                const spare = spareSockets.take(address);
                return waitForCaller(spare ? ok(spare) : await dial(address));
            },
            onBroken: how => observer.recordBroken(address, how),
            onClosed: () => removeIdle(address, connection),
        });
        return connection;
    };

    const waitForRead = async () => {
        while (!readBarrier.isPassed(-Infinity)) {
            await readBarrier.nextRead();
        }
    };

    /** The caller may have left while the connection was opened, and the target may break it off in the meantime. */
    const waitForCaller = async (
        dialed: Result<DialedConnection, Failure>,
    ): Promise<Result<DialedConnection, Failure>> => {
        if (dialed.isErr) {
            return dialed;
        }
        const { socket } = dialed.value;
        const ignore = () => undefined;
        socket.on("error", ignore);
        await waitForRead();
        if (socket.destroyed) {
            return err(notRun(FailureReason.TargetFailed, "The connection was closed before the call was sent."));
        }
        socket.off("error", ignore);
        return dialed;
    };

    const removeIdle = (address: string, connection: TargetConnection) => {
        const idle = idleByAddress.get(address);
        const index = idle?.indexOf(connection) ?? -1;
        if (idle && index >= 0) {
            idle.splice(index, 1);
        }
        if (idle?.length === 0) {
            idleByAddress.delete(address);
        }
    };

    const release = (address: string, connection: TargetConnection) => {
        const idle = idleByAddress.get(address) ?? [];
        const mayCarryMore = connection.isAlive() && !carriedCalls.isFull(connection) && !isRelayOver(connection);
        if (!mayCarryMore || idle.length >= maxIdleConnections) {
            connection.close();
            return;
        }
        idle.push(connection);
        idleByAddress.set(address, idle);
        if (connection.relayId() !== undefined) {
            setTimeout(() => closeUnlessUsed(address, connection), recentAnswerMilliseconds).unref();
        }
    };

    /** A connection that a peer carries is not reused later, and the peer must not carry it in vain. */
    const closeUnlessUsed = (address: string, connection: TargetConnection) => {
        if (idleByAddress.get(address)?.includes(connection) && !isRecentlyVerified(connection)) {
            connection.close();
        }
    };

    const sendOver = async (connection: TargetConnection, address: string, send: TargetSend) => {
        carriedCalls.record(connection, send.callId);
        dialer.retryLink(address);
        const checkStart = () => readBarrier.isPassed(-Infinity) ? send.checkStart?.() : unreadFailure;
        const result = await connection.send({ ...send, checkStart });
        if (result.isOk) {
            if (connection.relayId() === undefined) {
                links.recordAnswered(address);
            }
            release(address, connection);
        }
        else {
            connection.close();
        }
        return result;
    };

    return {
        send: async (address, policy, send) => {
            let result = await sendOver(acquire(address, policy, send.callId), address, send);
            while (result.isErr && result.error === unreadFailure) {
                await waitForRead();
                // A new connection takes the call without another turn.
                result = await sendOver(open(address), address, send);
            }
            return result;
        },
        confirmListening: async (address, relayId) => {
            if (relayId !== undefined && await dialer.probePeer(relayId) !== ProbeResult.Accepted) {
                return false;
            }
            const dialed = await dialer.dial(address);
            if (dialed.isOk) {
                spareSockets.keep(address, dialed.value);
                return true;
            }
            return false;
        },
        closeIdle: address => {
            const idle = idleByAddress.get(address) ?? [];
            idleByAddress.delete(address);
            idle.forEach(connection => connection.close());
        },
        close: () => {
            spareSockets.close();
            [...idleByAddress.values()].flat().forEach(connection => connection.close());
        },
    };
}

function createCarriedCalls(): CarriedCalls {
    const byConnection = new WeakMap<TargetConnection, { readonly callIds: Set<string>; characters: number; }>();

    return {
        has: (connection, callId) => callId !== undefined && byConnection.get(connection)?.callIds.has(callId) === true,
        record: (connection, callId) => {
            if (callId !== undefined) {
                const carried = byConnection.get(connection) ?? { callIds: new Set(), characters: 0 };
                carried.callIds.add(callId);
                carried.characters += callId.length;
                byConnection.set(connection, carried);
            }
        },
        isFull: connection => (byConnection.get(connection)?.characters ?? 0) >= maxIdentifierCharacters,
    };
}
