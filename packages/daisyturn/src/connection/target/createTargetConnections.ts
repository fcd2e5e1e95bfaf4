import type { Clock, Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import { openTargetConnection, type TargetConnection, type TargetSend } from "./openTargetConnection.js";

/** Which connections may carry a call. */
export enum ConnectionCare {
    /** Any that is open. */
    Reuse = "reuse",
    /** One that has carried an answer just now, or a new one: the call can't be repeated if the connection is dead. */
    Proven = "proven",
}

/** The connections to all targets. */
export interface TargetConnections {
    send(address: string, care: ConnectionCare, send: TargetSend): Promise<Result<void, Failure>>;
    /** Closes the idle connections to an address whose target is gone or does not answer. */
    forget(address: string): void;
    close(): void;
}

/** An answer this recent, in milliseconds, shows that a connection still works in both directions. */
const provenMilliseconds = 250;
/** Idle connections kept for each target; more only pile up after a peak. */
const mostIdle = 8;

/** Creates the connections of one process, made on demand and kept while the target allows it. */
export function createTargetConnections(clock: Clock): TargetConnections {
    const idleByAddress = new Map<string, TargetConnection[]>();

    /** The one used last is the surest to work; those that are not needed grow old and are closed. */
    const take = (address: string, care: ConnectionCare): TargetConnection => {
        const idle = idleByAddress.get(address) ?? [];
        for (let index = idle.length - 1; index >= 0; index--) {
            const candidate = idle[index];
            if (candidate?.isAlive() && (care === ConnectionCare.Reuse || isProven(candidate))) {
                idle.splice(index, 1);
                return candidate;
            }
        }
        return open(address);
    };

    const isProven = (connection: TargetConnection) =>
        clock.monotonicNow() - (connection.lastAnsweredAt() ?? -Infinity) <= provenMilliseconds;

    const open = (address: string): TargetConnection => {
        const connection = openTargetConnection({
            address,
            now: () => clock.monotonicNow(),
            onClosed: () => drop(address, connection),
        });
        return connection;
    };

    const drop = (address: string, connection: TargetConnection) => {
        const idle = idleByAddress.get(address);
        const index = idle?.indexOf(connection) ?? -1;
        if (idle && index >= 0) {
            idle.splice(index, 1);
        }
        if (idle?.length === 0) {
            idleByAddress.delete(address);
        }
    };

    const giveBack = (address: string, connection: TargetConnection) => {
        const idle = idleByAddress.get(address) ?? [];
        if (!connection.isAlive() || idle.length >= mostIdle) {
            connection.close();
            return;
        }
        idle.push(connection);
        idleByAddress.set(address, idle);
    };

    return {
        send: async (address, care, send) => {
            const connection = take(address, care);
            const result = await connection.send(send);
            if (result.isOk) {
                giveBack(address, connection);
            }
            else {
                connection.close();
            }
            return result;
        },
        forget: address => {
            const idle = idleByAddress.get(address) ?? [];
            idleByAddress.delete(address);
            idle.forEach(connection => connection.close());
        },
        close: () => [...idleByAddress.values()].flat().forEach(connection => connection.close()),
    };
}
