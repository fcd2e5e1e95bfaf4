import { connect as connectTcp, createServer as createTcpServer, type Server, type Socket } from "node:net";
import {
    connect as connectTls,
    type ConnectionOptions,
    createServer as createTlsServer,
    type TlsOptions,
} from "node:tls";
import type { PeerTlsSettings } from "./peerNetworkSettings.js";

/** Connections that may be open at once, authenticated or not. */
const maxConnections = 1_024;

/** Creates the server for peers, with mutual TLS if it is configured. */
export function createPeerServer(tls: PeerTlsSettings | undefined, onSocket: (socket: Socket) => void): Server {
    const server = tls
        ? createTlsServer(listeningTlsOptions(tls), onSocket)
        : createTcpServer(onSocket);
    server.maxConnections = maxConnections;
    return server;
}

/** Opens a socket; rejects if it can't be opened before `signal` is aborted. */
export async function openPeerSocket(
    address: string,
    tls: PeerTlsSettings | undefined,
    signal: AbortSignal,
): Promise<Socket> {
    const { host, port } = splitAddress(address);
    const socket = tls
        ? connectTls({ host, port, ...dialingTlsOptions(tls) })
        : connectTcp({ host, port });
    const readyEvent = tls ? "secureConnect" : "connect";
    return await new Promise<Socket>((resolve, reject) => {
        const abort = () => socket.destroy(new Error("connection not established in time"));
        signal.addEventListener("abort", abort, { once: true });
        socket.once(readyEvent, () => {
            signal.removeEventListener("abort", abort);
            socket.removeListener("error", reject);
            resolve(socket);
        });
        socket.once("error", reject);
        if (signal.aborted) {
            abort();
        }
    });
}

/** Splits `address:port`; the address may be an IPv6 number in brackets. */
export function splitAddress(address: string): { readonly host: string; readonly port: number; } {
    const colon = address.lastIndexOf(":");
    const host = address.slice(0, colon).replace(/^\[(.*)\]$/, "$1");
    return { host, port: Number(address.slice(colon + 1)) };
}

function listeningTlsOptions(tls: PeerTlsSettings): TlsOptions {
    return { ...commonTlsOptions(tls), requestCert: true, rejectUnauthorized: true };
}

/**
 * Peers are addressed by IP numbers, which change with each replaced VM, so certificates are not bound to an address.
 * TLS accepts any certificate that the cell's authority has signed. The handshake then requires proof of the shared
 * secret.
 */
function dialingTlsOptions(tls: PeerTlsSettings): ConnectionOptions {
    return { ...commonTlsOptions(tls), rejectUnauthorized: true, checkServerIdentity: () => undefined };
}

function commonTlsOptions(tls: PeerTlsSettings) {
    return { cert: tls.certificate, key: tls.key, ca: tls.authority, minVersion: "TLSv1.3" as const };
}
