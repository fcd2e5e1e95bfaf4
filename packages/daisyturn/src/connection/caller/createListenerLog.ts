import { EventKind, type EventLog } from "daisyturn-utils";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { ReadLimit } from "./reads/paceReads.js";

/** Records what the listener does with bytes that do not become a served request. */
export interface ListenerLog {
    /** @param status status that was sent; `closed` if the connection was closed without one */
    recordUnreadable(socket: Duplex, status: string, code: string | undefined): void;
    /** Records that a limit on what is read of a connection applies to it. */
    recordReadLimit(socket: Duplex, limit: ReadLimit): void;
    /** Records a request that became complete after the listener had ended the service of its connection. */
    recordLateRequest(incoming: IncomingMessage): void;
}

/** What {@link createListenerLog} needs. */
export interface ListenerLogOptions {
    readonly eventLog: EventLog;
    /** Returns the identifier that a caller gave its request. */
    readonly identify?: (rawFields: readonly string[]) => string | undefined;
    readonly recordUnreadable?: (status: string) => void;
    readonly recordReadLimit?: (limit: ReadLimit) => void;
}

/** Creates the log. The caller's address joins its two kinds of lines. */
export function createListenerLog({ eventLog, identify, ...metrics }: ListenerLogOptions): ListenerLog {
    return {
        recordUnreadable: (socket, status, code) => {
            metrics.recordUnreadable?.(status);
            eventLog.record(EventKind.RequestUnreadable, { status, reason: code, remote: describeRemote(socket) });
        },
        recordReadLimit: (socket, limit) => {
            metrics.recordReadLimit?.(limit);
            eventLog.record(EventKind.ReadLimited, { limit, remote: describeRemote(socket) });
        },
        recordLateRequest: incoming =>
            eventLog.record(EventKind.RequestAfterRefusal, {
                request: identify?.(incoming.rawHeaders),
                remote: describeRemote(incoming.socket),
            }),
    };
}

function describeRemote(socket: Duplex): string | undefined {
    const { remoteAddress, remotePort } = socket as Partial<Socket>;
    return remoteAddress && `${remoteAddress}:${remotePort}`;
}
