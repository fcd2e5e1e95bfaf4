import { EventKind, type EventLog } from "daisyturn-utils";
import { createSocket } from "node:dgram";
import { DatagramChannel, type PeerAddress } from "../../process/forwarding/index.js";

/** A channel over UDP, with a function that closes its socket. */
export interface OpenDatagramChannel {
    readonly channel: DatagramChannel;
    close(): void;
}

/** Opens a UDP socket. Datagrams that can't be sent or received are lost. Only the socket's first error is logged. */
export function openDatagramChannel(host: string, port: number, eventLog: EventLog): OpenDatagramChannel {
    const socket = createSocket("udp4");
    let hasFailed = false;
    socket.on("error", error => {
        if (!hasFailed) {
            hasFailed = true;
            eventLog.record(EventKind.Fault, { reason: `UDP socket for datagrams to peers: ${error.message}` });
        }
    });
    socket.bind(port, host);

    class UdpChannel extends DatagramChannel {
        override send(to: PeerAddress, datagram: Buffer): void {
            // Errors for an unreachable peer are ignored here: its failure is detected by the absence of its datagrams.
            socket.send(datagram, to.port, to.host, () => undefined);
        }

        override onDatagram(listener: (datagram: Buffer, from: PeerAddress) => void): void {
            socket.on("message", (datagram, { address, port }) => listener(datagram, { host: address, port }));
        }
    }
    return { channel: new UdpChannel(), close: () => socket.close() };
}
