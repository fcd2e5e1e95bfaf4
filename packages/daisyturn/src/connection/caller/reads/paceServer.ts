import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { ByteSource } from "../../../process/forwarding/index.js";
import type { ReadTurns } from "../../bytes/createReadTurns.js";
import { type CallerConnection, createCallerConnection } from "../callerConnection.js";
import { limitConnections, type LimitedConnections } from "./limitConnections.js";
import { paceReads, ReadLimit } from "./paceReads.js";

/** More than a balancer, a scraper and some operators keep open. */
const maxConnections = 64;
/** As Node's own limit on a head. */
const maxHeadBytes = 16 * 1024;

/** Bounds what the connections of a server beside that for callers take of the process, as {@link paceReads} does for callers. */
export function paceServer(
    server: Server,
    turns: ReadTurns,
    source: ByteSource,
    connectionEvent = "connection",
): LimitedConnections {
    const connections = new WeakMap<Duplex, CallerConnection>();
    const limited = limitConnections(server, maxConnections);
    server.on(connectionEvent, (socket: Socket) => {
        const requests = createCallerConnection(socket);
        connections.set(socket, requests);
        const onLimit = (limit: ReadLimit) => {
            if (limit === ReadLimit.Bytes) {
                socket.destroy();
            }
        };
        paceReads({ socket, requests, turns, source, maxHeadBytes, onLimit });
    });
    server.prependListener("request", (incoming, outgoing) => {
        const requests = connections.get(incoming.socket);
        requests?.recordRead(incoming);
        const request = requests?.beginRequest(incoming, () => undefined);
        outgoing.once("close", () => request?.end());
    });
    return limited;
}
