import { request } from "node:http";
import type { Socket } from "node:net";
import { err, ok, type Result } from "true-myth/result";
import type { PeerAddress } from "../../process/forwarding/index.js";
import type { OpenTunnel } from "./openThroughPeers.js";
import { readTunnelAnswer, TunnelAnswer } from "./tunnelAnswer.js";

/**
 * Creates the function that opens tunnels by HTTP CONNECT to the peers' TCP ports.
 * @param localHost registered host of this process, by which peers recognize it
 */
export function createHttpTunnels(localHost: string): OpenTunnel<Socket> {
    return (peer, address, signal) => openTunnel(localHost, peer, address, signal);
}

function openTunnel(
    localHost: string,
    peer: PeerAddress,
    address: string,
    signal: AbortSignal,
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
