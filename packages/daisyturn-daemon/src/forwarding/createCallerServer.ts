import {
    type CallerProtocol,
    checkCallHead,
    createConnectionGuard,
    createForwardServer,
    type ForwardingParts,
    type ReadTurns,
    serveForwardedCall,
} from "daisyturn/forwarding";
import type { ForwardingSettings } from "./forwardingSettings.js";

/** What {@link createCallerServer} needs. */
export interface CallerServerOptions {
    readonly settings: Pick<ForwardingSettings, "callers">;
    readonly protocol: CallerProtocol;
    readonly parts: ForwardingParts & { readonly readTurns: ReadTurns; };
    /** Milliseconds since the start of the process in which it was busy with work that others depend on. */
    readonly busyMilliseconds: () => number;
    /** Whether a call that arrives now is refused without reading it, because the process is overloaded. */
    readonly shouldRefuse: () => boolean;
    /** Whether other processes can take connections beyond what this one can serve. */
    readonly hasRoomElsewhere: () => boolean;
}

/** Creates the server for callers and the guard of its connections. */
export function createCallerServer({ settings, protocol, parts, ...checks }: CallerServerOptions) {
    const { clock, eventLog, metrics, readTurns } = parts;
    const connectionGuard = createConnectionGuard({
        busyMilliseconds: checks.busyMilliseconds,
        hasRoomElsewhere: checks.hasRoomElsewhere,
        clock,
        eventLog,
    });
    const server = createForwardServer({
        listen: settings.callers,
        protocol,
        serve: (call, exchange) => serveForwardedCall(parts, call, exchange),
        checkHead: head => checkCallHead(parts, head),
        shouldRefuse: checks.shouldRefuse,
        connectionGuard,
        readTurns,
        clock,
        eventLog,
        metrics,
    });
    return { server, connectionGuard };
}
