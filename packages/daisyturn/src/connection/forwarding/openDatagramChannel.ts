import { EventKind, type EventLog } from "daisyturn-utils";
import { createSocket } from "node:dgram";
import type { RegisteredPeer } from "../../ports/peerRegistry.js";
import { DatagramChannel } from "../../process/forwarding/index.js";

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
        override send(peer: RegisteredPeer, datagram: Buffer): void {
            // The callback takes the errors of a peer that can't be reached; the registry drops it in time.
            socket.send(datagram, peer.port, peer.host, () => undefined);
        }

        override onDatagram(listener: (datagram: Buffer) => void): void {
            socket.on("message", listener);
        }
    }
    return { channel: new UdpChannel(), close: () => socket.close() };
}
