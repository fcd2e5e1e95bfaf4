import { EventKind, type EventLog } from "daisyturn-utils";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";

/** Records what the listener does with bytes that do not become a served request. */
export interface ListenerLog {
    /** @param status status that was sent; `closed` if the connection was closed without one */
    recordUnreadable(socket: Duplex, status: string, code: string | undefined): void;
    /** Records a request that became complete after the listener had ended the service of its connection. */
    recordLateRequest(incoming: IncomingMessage): void;
}

/** What {@link createListenerLog} needs. */
export interface ListenerLogOptions {
    readonly eventLog: EventLog;
    /** Returns the identifier that a caller gave its request. */
    readonly identify?: (rawFields: readonly string[]) => string | undefined;
    readonly recordUnreadable?: (status: string) => void;
}

/** Creates the log. The caller's address joins its two kinds of lines. */
export function createListenerLog({ eventLog, identify, recordUnreadable }: ListenerLogOptions): ListenerLog {
    return {
        recordUnreadable: (socket, status, code) => {
            recordUnreadable?.(status);
            eventLog.record(EventKind.RequestUnreadable, { status, reason: code, remote: describeRemote(socket) });
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
