import { request } from "node:http";
import type { Socket } from "node:net";
import { err, ok, type Result } from "true-myth/result";
import type { PeerAddress } from "../../process/forwarding/index.js";
import { readTunnelAnswer, TunnelAnswer } from "./tunnelAnswer.js";

/** Options of {@link openTunnel}. */
export interface OpenTunnelOptions {
    /** Address at which the peer takes tunnels. */
    readonly peer: PeerAddress;
    /** Registered host of this process, by which the peer recognizes it. */
    readonly localHost: string;
    /** Address of the target (host:port). */
    readonly address: string;
    /** Aborts the attempt; an open tunnel is not affected. */
    readonly signal: AbortSignal;
}

/**
 * Opens a connection to a target by way of a peer.
 * @returns a socket that carries the target's bytes; or the answer of the peer, undefined if it could not be reached
 */
export function openTunnel(
    { peer, localHost, address, signal }: OpenTunnelOptions,
): Promise<Result<Socket, TunnelAnswer | undefined>> {
    return new Promise(resolve => {
        const outgoing = request({
            host: peer.host,
            port: peer.port,
            localAddress: localHost,
            method: "CONNECT",
            path: address,
            headers: { Host: address },
            agent: false,
        });
        const finish = (result: Result<Socket, TunnelAnswer | undefined>) => {
            signal.removeEventListener("abort", abandon);
            resolve(result);
        };
        const abandon = () => outgoing.destroy();
        outgoing.setNoDelay(true);
        outgoing.once("connect", (incoming, socket: Socket, head: Buffer) => {
            const answer = readTunnelAnswer(incoming.statusCode);
            if (answer !== TunnelAnswer.Open) {
                socket.destroy();
                finish(err(answer));
                return;
            }
            if (head.length > 0) {
                socket.unshift(head);
            }
            finish(ok(socket));
        });
        // A process of an earlier version has no such listener and refuses the connection.
        outgoing.on("error", () => finish(err(undefined)));
        outgoing.once("close", () => finish(err(undefined)));
        if (signal.aborted) {
            abandon();
        }
        signal.addEventListener("abort", abandon, { once: true });
        outgoing.end();
    });
}
