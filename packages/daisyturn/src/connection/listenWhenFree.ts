import { type Clock, EventKind, type EventLog, UserError } from "daisyturn-utils";
import type { Server } from "node:net";
import type { ListenAddress } from "./caller/callerServerOptions.js";
import { listenAt } from "./listenAt.js";

/** Options of {@link listenWhenFree}. */
export interface ListenOptions {
    /** Name of the listener in the log. */
    readonly listener: string;
    /** Maximum number of connections that wait to be accepted; the system's default if absent. */
    readonly backlog?: number;
    /** Whether the process also works without this listener. It is then tried again after any error. */
    readonly isOptional?: boolean;
    /** Ends the wait. */
    readonly signal: AbortSignal;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

export const listenRetryMilliseconds = 200;
/** A listener at the limit of descriptors fails once for each connection. */
const faultIntervalMilliseconds = 1_000;
/** Errors of listen(2) and of the arguments that remain until the settings or the system are changed. */
const permanentErrors = ["EACCES", "EPERM", "EINVAL", "EAFNOSUPPORT", "ENOTFOUND", "ERR_SOCKET_BAD_PORT"];

/**
 * Opens a server's port, and tries again while another socket has it or the machine lacks the address. Later errors of the
 * server are logged.
 * @returns false if `signal` was aborted before
 * @throws UserError if the address can't be had by waiting
 */
export async function listenWhenFree(server: Server, listen: ListenAddress, options: ListenOptions): Promise<boolean> {
    const { listener, signal, clock, eventLog } = options;
    const address = `${listen.address}:${listen.port}`;
    let isAwaited = false;
    while (!signal.aborted) {
        try {
            await listenAt(server, listen, options.backlog);
            logErrors(server, options);
            if (signal.aborted) {
                server.close();
                return false;
            }
            if (isAwaited) {
                eventLog.record(EventKind.AddressOpened, { listener, address });
            }
            return true;
        }
        catch (error) {
            const { code = "unknown", message } = error as NodeJS.ErrnoException;
            if (!options.isOptional && permanentErrors.includes(code)) {
                throw new UserError({
                    option: listener,
                    value: address,
                    problem: `it can't be listened at: ${message}`,
                    remedy: "Name an address of this machine and a port that the process may open.",
                });
            }
            if (!isAwaited) {
                isAwaited = true;
                eventLog.record(EventKind.AddressAwaited, { listener, address, reason: code });
            }
        }
        await clock.sleepUntil(clock.monotonicNow() + listenRetryMilliseconds, signal);
    }
    return false;
}

/** Without a listener of this event, a connection that can't be accepted would throw an error that nothing catches. */
function logErrors(server: Server, { listener, clock, eventLog }: ListenOptions): void {
    let nextLineAt = -Infinity;
    server.on("error", error => {
        if (clock.monotonicNow() >= nextLineAt) {
            nextLineAt = clock.monotonicNow() + faultIntervalMilliseconds;
            eventLog.record(EventKind.Fault, { reason: `listener ${listener}: ${error.message}` });
        }
    });
}
