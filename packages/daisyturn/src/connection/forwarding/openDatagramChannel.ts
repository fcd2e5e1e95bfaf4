import { EventKind, type EventLog } from "daisyturn-utils";
import { createSocket } from "node:dgram";
import { DatagramChannel, type PeerAddress } from "../../process/forwarding/index.js";

/** A channel over UDP, and its end. */
export interface OpenDatagramChannel {
    readonly channel: DatagramChannel;
    close(): void;
}

/** Opens a UDP socket. What can't be sent or received is lost, as datagrams may be at any time. */
export function openDatagramChannel(host: string, port: number, eventLog: EventLog): OpenDatagramChannel {
    const socket = createSocket("udp4");
    let hasFailed = false;
    socket.on("error", error => {
        if (!hasFailed) {
            hasFailed = true;
            eventLog.record(EventKind.Fault, { reason: `datagrams to peers: ${error.message}` });
        }
    });
    socket.bind(port, host);

    class UdpChannel extends DatagramChannel {
        override send(to: PeerAddress, datagram: Buffer): void {
            // The callback takes the errors of a peer that can't be reached: it is missed by its silence.
            socket.send(datagram, to.port, to.host, () => undefined);
        }

        override onDatagram(listener: (datagram: Buffer, from: PeerAddress) => void): void {
            socket.on("message", (datagram, { address, port }) => listener(datagram, { host: address, port }));
        }
    }
    return { channel: new UdpChannel(), close: () => socket.close() };
}
