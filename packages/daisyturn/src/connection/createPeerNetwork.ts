import {
    type Clock,
    type EventLog,
    type Failure,
    FailureReason,
    type HybridLogicalClock,
    type JsonObject,
    notRun,
    type Random,
} from "daisyturn-utils";
import type { AddressInfo, Socket } from "node:net";
import { err, type Result } from "true-myth/result";
import {
    DialingPeerNetwork,
    type HelloListener,
    type PeerHandler,
    PeerMethod,
    type ProcessIdentity,
} from "../process/peers/index.js";
import { createReadTurns } from "./bytes/createReadTurns.js";
import { listenWhenFree } from "./listenWhenFree.js";
import { createPeerAcceptor } from "./peerAcceptor.js";
import { createPeerDialer } from "./peerDialer.js";
import { HandshakeMethod, performHandshake } from "./peerHandshake.js";
import { createPeerLinks, type PeerLink } from "./peerLinks.js";
import { type PeerNetworkSettingsInput, peerNetworkSettingsSchema } from "./peerNetworkSettings.js";
import { createPeerServer, openPeerSocket } from "./peerSockets.js";
import {
    createRefusal,
    createRpcConnection,
    createTrafficCounters,
    type RpcConnection,
    type RpcHandler,
    type TrafficCounters,
} from "./rpcConnection.js";

const handshakeMethods: readonly string[] = Object.values(HandshakeMethod);
const peerMethods: readonly string[] = Object.values(PeerMethod);

export interface PeerNetworkOptions extends PeerNetworkSettingsInput {
    /** Peers connect to its `peerAddress`. Port 0 is replaced with the actual port by `start`. */
    readonly self: ProcessIdentity;
    readonly clock: Clock;
    readonly hybridClock: HybridLogicalClock;
    readonly eventLog: EventLog;
    readonly random: Random;
}

/** RPC between processes over TCP. */
export abstract class TcpPeerNetwork extends DialingPeerNetwork {
    /** Listens once the address is free. Rejects if it is not available by waiting, or the network is stopped before. */
    abstract start(): Promise<void>;
    /** Closes the listener and all connections. Bytes that are already written are flushed first. */
    abstract stop(): Promise<void>;
    /** Totals over all connections. */
    abstract readonly traffic: Readonly<TrafficCounters>;
}

/** Creates the connections of one process to its peers. Throws if the settings are invalid. */
export function createPeerNetwork(options: PeerNetworkOptions): TcpPeerNetwork {
    const { self: configuredSelf, clock, hybridClock, eventLog, random, ...input } = options;
    const settings = peerNetworkSettingsSchema.parse(input);
    const handlers = new Map<PeerMethod, PeerHandler>();
    const helloListeners: HelloListener[] = [];
    const traffic = createTrafficCounters();
    const turns = createReadTurns();
    const stopping = new AbortController();
    const links = createPeerLinks(configuredSelf, clock);
    const unauthenticated = new Set<RpcConnection>();
    let self = configuredSelf;

    const openConnection = (socket: Socket, answer: RpcHandler): RpcConnection => {
        const connection = createRpcConnection({
            socket,
            clock,
            hybridClock,
            settings,
            methods: [...handshakeMethods, ...peerMethods],
            answer,
            counters: traffic,
            turns,
        });
        unauthenticated.add(connection);
        void connection.closed.then(() => unauthenticated.delete(connection));
        return connection;
    };

    const addLink = (link: PeerLink): boolean => {
        if (stopping.signal.aborted || !links.add(link)) {
            return false;
        }
        unauthenticated.delete(link.connection);
        link.connection.trust();
        void link.connection.closed.then(() => links.remove(link));
        helloListeners.forEach(listener => listener(link.peer));
        return true;
    };

    const callHandler = async (peer: ProcessIdentity, method: string, parameters: JsonObject): Promise<JsonObject> => {
        const handler = handlers.get(method as PeerMethod);
        if (!handler) {
            throw createRefusal(`no handler for ${method}`);
        }
        return await handler(peer, parameters);
    };

    /** Connects to a peer and performs the handshake. */
    const dial = async (address: string, deadline: number, signal: AbortSignal): Promise<PeerLink | string> =>
        await authenticate(await openPeerSocket(address, settings.tls, signal), deadline);

    const authenticate = async (socket: Socket, deadline: number): Promise<PeerLink | string> => {
        let peer: ProcessIdentity | undefined;
        const answer: RpcHandler = async (method, parameters) => {
            if (!peer) {
                throw createRefusal("the peer has not proved who it is");
            }
            return await callHandler(peer, method, parameters);
        };
        const connection = openConnection(socket, answer);
        const outcome = await performHandshake(connection, self, settings, deadline, identity => {
            connection.trust();
            peer = identity;
        });
        const refusal = typeof outcome === "string" ? outcome : undefined;
        const link = typeof outcome === "string" ? undefined : { peer: outcome, connection };
        if (!link || !addLink(link)) {
            connection.destroy("the handshake failed");
            return refusal ?? "a later incarnation of the peer is connected";
        }
        return link;
    };

    const dialer = createPeerDialer({
        clock,
        random,
        eventLog,
        limitMilliseconds: settings.handshakeLimitMilliseconds,
        dial,
        findLink: links.findByAddress,
    });
    const acceptSocket = createPeerAcceptor({
        self: () => self,
        key: settings,
        clock,
        eventLog,
        limitMilliseconds: settings.handshakeLimitMilliseconds,
        openConnection,
        addLink,
        callHandler,
    });
    const server = createPeerServer(settings.tls, acceptSocket);

    class ConnectedNetwork extends TcpPeerNetwork {
        override get self(): ProcessIdentity {
            return self;
        }

        override get traffic(): Readonly<TrafficCounters> {
            return traffic;
        }

        override async start(): Promise<void> {
            const { host, port: listenPort } = settings.listen;
            const { signal } = stopping;
            await listenWhenFree(server, { address: host, port: listenPort }, {
                listener: "peers",
                signal,
                clock,
                eventLog,
            });
            signal.throwIfAborted();
            const { port } = server.address() as AddressInfo;
            self = { ...self, peerAddress: self.peerAddress.replace(/:0$/, `:${port}`) };
        }

        override async stop(): Promise<void> {
            stopping.abort();
            dialer.stop();
            server.close();
            unauthenticated.forEach(connection => connection.destroy("this process stops"));
            const open = links.all().map(link => link.connection);
            open.forEach(connection => connection.close());
            await Promise.all(open.map(connection => connection.closed));
        }

        override async request(
            processId: string,
            method: PeerMethod,
            parameters: JsonObject,
            deadline: number,
        ): Promise<Result<JsonObject, Failure>> {
            const link = links.find(processId);
            if (!link) {
                return err(notRun(FailureReason.PeerUnavailable, `no connection to ${processId}`));
            }
            return await link.connection.request(method, parameters, deadline);
        }

        override notify(processId: string, method: PeerMethod, parameters: JsonObject): void {
            links.find(processId)?.connection.notify(method, parameters);
        }

        override handle(method: PeerMethod, handler: PeerHandler): void {
            handlers.set(method, handler);
        }

        override connect(address: string): void {
            if (address !== self.peerAddress && !stopping.signal.aborted) {
                dialer.connect(address);
            }
        }

        override disconnect(address: string): void {
            dialer.disconnect(address);
        }

        override onHello(listener: HelloListener): void {
            helloListeners.push(listener);
        }
    }
    return new ConnectedNetwork();
}
