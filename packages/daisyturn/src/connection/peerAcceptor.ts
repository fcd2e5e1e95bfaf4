import { type Clock, EventKind, type EventLog, type JsonObject } from "daisyturn-utils";
import type { Socket } from "node:net";
import type { ProcessIdentity } from "../process/peers/index.js";
import { type CellKey, createHandshakeAnswerer, HandshakeMethod } from "./peerHandshake.js";
import type { PeerLink } from "./peerLinks.js";
import { createRefusal, type RpcAnswerer, type RpcConnection } from "./rpcConnection.js";

export interface PeerAcceptorOptions {
    readonly self: () => ProcessIdentity;
    readonly key: CellKey;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Longest time until the other side has proved who it is. */
    readonly limitMilliseconds: number;
    readonly openConnection: (socket: Socket, answer: RpcAnswerer) => RpcConnection;
    /** False if the link is refused. */
    readonly addLink: (link: PeerLink) => boolean;
    readonly callHandler: (peer: ProcessIdentity, method: string, parameters: JsonObject) => Promise<JsonObject>;
}

/** Strangers are logged once for each address, and only so many of them, so that they can't fill the log. */
const maximumReportedStrangers = 100;

/** Creates what takes the sockets of peers that dial this process. */
export function createPeerAcceptor(options: PeerAcceptorOptions): (socket: Socket) => void {
    const { clock, eventLog, openConnection, addLink, callHandler } = options;
    const reportedStrangers = new Set<string>();

    const reportStranger = (address: string, reason: string) => {
        if (!reportedStrangers.has(address) && reportedStrangers.size < maximumReportedStrangers) {
            reportedStrangers.add(address);
            eventLog.record(EventKind.Fault, { part: "peer_connection", address, reason });
        }
    };

    return socket => {
        const handshake = createHandshakeAnswerer(options.self(), options.key);
        const address = socket.remoteAddress ?? "unknown";
        let peer: ProcessIdentity | undefined;

        const prove = (parameters: JsonObject): JsonObject => {
            if (peer) {
                throw createRefusal("already proved");
            }
            const proved = handshake.checkProof(parameters);
            if (!proved) {
                reportStranger(address, "the peer that dialed has not proved that it knows the cell's secret");
                throw createRefusal("the proof is wrong");
            }
            if (!addLink({ peer: proved, connection })) {
                throw createRefusal("a later incarnation is connected, or this is the same process");
            }
            peer = proved;
            return {};
        };

        const answer: RpcAnswerer = async (method, parameters) => {
            if (method === HandshakeMethod.Hello) {
                return handshake.answerHello(parameters);
            }
            if (method === HandshakeMethod.Prove) {
                return prove(parameters);
            }
            if (!peer) {
                throw createRefusal("the peer has not proved who it is");
            }
            return await callHandler(peer, method, parameters);
        };

        const closeUnlessProved = async () => {
            const over = new AbortController();
            void connection.closed.then(() => over.abort());
            await clock.sleepUntil(clock.monotonicNow() + options.limitMilliseconds, over.signal);
            if (!peer) {
                connection.destroy("no proof in time");
            }
        };

        const connection = openConnection(socket, answer);
        void closeUnlessProved();
    };
}
