import type { Clock, Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import { openTargetConnection, type TargetConnection, type TargetSend } from "./openTargetConnection.js";

/** Which connections may carry a call. */
export enum ConnectionPolicy {
    /** Any that is open. */
    Reuse = "reuse",
    /** One that has carried an answer just now, or a new one: the call can't be repeated if the connection is dead. */
    RecentlyVerified = "proven",
}

/** The connections to all targets. */
export interface TargetConnections {
    send(address: string, care: ConnectionPolicy, send: TargetSend): Promise<Result<void, Failure>>;
    /** Closes the idle connections to an address whose target is gone or does not answer. */
    closeIdle(address: string): void;
    close(): void;
}

/** An answer this recent, in milliseconds, shows that a connection still works in both directions. */
const recentAnswerMilliseconds = 250;
/** Idle connections kept for each target; more only pile up after a peak. */
const maxIdleConnections = 8;

/** Creates the connections of one process, made on demand and kept while the target allows it. */
export function createTargetConnections(clock: Clock): TargetConnections {
    const idleByAddress = new Map<string, TargetConnection[]>();

    /** The one used last is the surest to work; those that are not needed grow old and are closed. */
    const acquire = (address: string, care: ConnectionPolicy): TargetConnection => {
        const idle = idleByAddress.get(address) ?? [];
        for (let index = idle.length - 1; index >= 0; index--) {
            const candidate = idle[index];
            if (candidate?.isAlive() && (care === ConnectionPolicy.Reuse || isRecentlyVerified(candidate))) {
                idle.splice(index, 1);
                return candidate;
            }
        }
        return open(address);
    };

    const isRecentlyVerified = (connection: TargetConnection) =>
        clock.monotonicNow() - (connection.lastAnsweredAt() ?? -Infinity) <= recentAnswerMilliseconds;

    const open = (address: string): TargetConnection => {
        const connection = openTargetConnection({
            address,
            now: () => clock.monotonicNow(),
            onClosed: () => removeIdle(address, connection),
        });
        return connection;
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
        if (!connection.isAlive() || idle.length >= maxIdleConnections) {
            connection.close();
            return;
        }
        idle.push(connection);
        idleByAddress.set(address, idle);
    };

    return {
        send: async (address, care, send) => {
            const connection = acquire(address, care);
            const result = await connection.send(send);
            if (result.isOk) {
                release(address, connection);
            }
            else {
                connection.close();
            }
            return result;
        },
        closeIdle: address => {
            const idle = idleByAddress.get(address) ?? [];
            idleByAddress.delete(address);
            idle.forEach(connection => connection.close());
        },
        close: () => [...idleByAddress.values()].flat().forEach(connection => connection.close()),
    };
}
