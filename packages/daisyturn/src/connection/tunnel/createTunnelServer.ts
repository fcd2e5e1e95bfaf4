import type { Clock, EventLog } from "daisyturn-utils";
import { createServer, type IncomingMessage, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { TargetLinks } from "../../process/forwarding/index.js";
import type { ListenAddress } from "../caller/callerServerOptions.js";
import { listenWhenFree } from "../listenWhenFree.js";
import { createPeerConnector } from "./createPeerConnector.js";
import { createTunnel, type Tunnel } from "./createTunnel.js";
import { TunnelAnswer } from "./tunnelAnswer.js";

/** Carries connections of peers whose links to targets are lost. */
export interface TunnelServer {
    /** Resolves once it listens or `signal` is aborted. Without it, this process still serves its own callers. */
    start(signal: AbortSignal): Promise<boolean>;
    /** Number of tunnels that are open. */
    carried(): number;
    /**
     * Takes no more tunnels, and closes each open one once no call is under way on it.
     * @param deadline monotonic time at which the rest is closed
     */
    drain(deadline: number): Promise<void>;
    close(): void;
}

/** Options of {@link createTunnelServer}. */
export interface TunnelServerOptions {
    readonly listen: ListenAddress;
    /** Whether a process of the fleet is registered at a host. */
    readonly isRegistered: (host: string) => boolean;
    /** Whether a target is listed at an address (host:port). */
    readonly isListed: (address: string) => boolean;
    /** Whether this process has processor time for the tunnels of others. */
    readonly isAvailable: () => boolean;
    readonly links: TargetLinks;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** Bounds the memory for bytes in transit, and leaves most file descriptors to the process's own connections. */
const maxTunnels = 512;
/** Time that a peer has to send its request. */
const headTimeoutMilliseconds = 1_000;
const drainPollMilliseconds = 50;

/** Creates the server. Only processes of the fleet may use it, and only for listed targets. */
export function createTunnelServer(options: TunnelServerOptions): TunnelServer {
    const { links, clock, eventLog } = options;
    const connectForPeer = createPeerConnector(links, clock);
    const tunnels = new Set<Tunnel>();
    const opening = new Set<Duplex>();
    let isStopping = false;

    const check = (host: string | undefined, address: string): TunnelAnswer => {
        if (host === undefined || !options.isRegistered(host) || !options.isListed(address)) {
            return TunnelAnswer.Forbidden;
        }
        const isFull = tunnels.size + opening.size >= maxTunnels;
        return isStopping || isFull || !options.isAvailable() || links.isLost(address)
            ? TunnelAnswer.Unavailable
            : TunnelAnswer.Open;
    };

    const accept = async (address: string, client: Duplex, head: Buffer) => {
        const { remoteAddress } = client as Socket;
        const checked = check(remoteAddress, address);
        if (checked !== TunnelAnswer.Open) {
            answer(client, checked);
            return;
        }
        const left = new AbortController();
        const leave = () => left.abort();
        client.once("close", leave);
        opening.add(client);
        const opened = await connectForPeer(address, left.signal);
        opening.delete(client);
        client.off("close", leave);
        if (opened.isErr) {
            answer(client, opened.error);
            return;
        }
        if (client.destroyed || isStopping) {
            opened.value.destroy();
            answer(client, TunnelAnswer.Unavailable);
            return;
        }
        const tunnel = createTunnel({
            client: client as Socket,
            target: opened.value,
            clock,
            onClosed: () => tunnels.delete(tunnel),
        });
        tunnels.add(tunnel);
        client.write(formatAnswer(TunnelAnswer.Open));
        tunnel.start(head);
    };

    const server = createServer({ headersTimeout: headTimeoutMilliseconds }, (incoming, outgoing) => {
        incoming.resume();
        outgoing.writeHead(TunnelAnswer.Forbidden, { "Content-Length": 0, Connection: "close" });
        outgoing.end();
    });
    server.on("connect", ({ url }: IncomingMessage, client, head) => {
        client.on("error", () => client.destroy());
        void accept(url ?? "", client, head);
    });
    server.on("clientError", (error, socket) => socket.destroy());

    const closeAll = () => tunnels.forEach(tunnel => tunnel.close());

    return {
        start: signal =>
            listenWhenFree(server, options.listen, { listener: "tunnels", isOptional: true, signal, clock, eventLog }),
        carried: () => tunnels.size,
        drain: async deadline => {
            isStopping = true;
            while (tunnels.size > 0 && clock.monotonicNow() < deadline) {
                tunnels.forEach(tunnel => tunnel.isIdle() && tunnel.close());
                await clock.sleepUntil(clock.monotonicNow() + drainPollMilliseconds);
            }
            closeAll();
        },
        close: () => {
            server.close();
            server.closeAllConnections();
            closeAll();
        },
    };
}

function formatAnswer(answer: TunnelAnswer): string {
    return `HTTP/1.1 ${answer} ${STATUS_CODES[answer] ?? ""}\r\n\r\n`;
}

function answer(client: Duplex, found: TunnelAnswer): void {
    client.end(formatAnswer(found));
}
