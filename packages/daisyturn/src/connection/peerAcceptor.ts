import { type Clock, EventKind, type EventLog, type JsonObject } from "daisyturn-utils";
import type { Socket } from "node:net";
import type { ProcessIdentity } from "../process/peers/index.js";
import { type CellKey, createHandshakeResponder, HandshakeMethod } from "./peerHandshake.js";
import type { PeerLink } from "./peerLinks.js";
import { createRefusal, type RpcConnection, type RpcHandler } from "./rpcConnection.js";

export interface PeerAcceptorOptions {
    readonly self: () => ProcessIdentity;
    readonly key: CellKey;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Time within which the other side must have proved its identity. */
    readonly limitMilliseconds: number;
    readonly openConnection: (socket: Socket, answer: RpcHandler) => RpcConnection;
    /** False if the link is refused. */
    readonly addLink: (link: PeerLink) => boolean;
    readonly callHandler: (peer: ProcessIdentity, method: string, parameters: JsonObject) => Promise<JsonObject>;
}

/** Unauthenticated peers are logged once per address, up to this number, so that they can't fill the log. */
const maxReportedAddresses = 100;

/** Creates the function that accepts the sockets of peers that connect to this process. */
export function createPeerAcceptor(options: PeerAcceptorOptions): (socket: Socket) => void {
    const { clock, eventLog, openConnection, addLink, callHandler } = options;
    const reportedAddresses = new Set<string>();

    const reportUnauthenticated = (address: string, reason: string) => {
        if (!reportedAddresses.has(address) && reportedAddresses.size < maxReportedAddresses) {
            reportedAddresses.add(address);
            eventLog.record(EventKind.Fault, { part: "peer_connection", address, reason });
        }
    };

    return socket => {
        const handshake = createHandshakeResponder(options.self(), options.key);
        const address = socket.remoteAddress ?? "unknown";
        let peer: ProcessIdentity | undefined;

        const acceptProof = (parameters: JsonObject): JsonObject => {
            if (peer) {
                throw createRefusal("already proved");
            }
            const identity = handshake.checkProof(parameters);
            if (!identity) {
                reportUnauthenticated(address, "the peer that dialed has not proved that it knows the cell's secret");
                throw createRefusal("the proof is wrong");
            }
            if (!addLink({ peer: identity, connection })) {
                throw createRefusal("a later incarnation is connected, or this is the same process");
            }
            peer = identity;
            return {};
        };

        const answer: RpcHandler = async (method, parameters) => {
            if (method === HandshakeMethod.Hello) {
                return handshake.answerHello(parameters);
            }
            if (method === HandshakeMethod.Prove) {
                return acceptProof(parameters);
            }
            if (!peer) {
                throw createRefusal("the peer has not proved who it is");
            }
            return await callHandler(peer, method, parameters);
        };

        const closeUnlessAuthenticated = async () => {
            const closing = new AbortController();
            void connection.closed.then(() => closing.abort());
            await clock.sleepUntil(clock.monotonicNow() + options.limitMilliseconds, closing.signal);
            if (!peer) {
                connection.destroy("no proof in time");
            }
        };

        const connection = openConnection(socket, answer);
        void closeUnlessAuthenticated();
    };
}
