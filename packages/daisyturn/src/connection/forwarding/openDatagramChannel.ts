import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { createSocket } from "node:dgram";
import {
    ByteSource,
    DatagramChannel,
    type ForwardingMetrics,
    type PeerAddress,
} from "../../process/forwarding/index.js";
import type { ListenAddress } from "../caller/callerServerOptions.js";
import { limitSenders } from "./limitSenders.js";

/** A channel over UDP, with a function that closes its socket. */
export interface OpenDatagramChannel {
    readonly channel: DatagramChannel;
    close(): void;
}

/** What {@link openDatagramChannel} needs. */
export interface DatagramChannelOptions {
    readonly listen: ListenAddress;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly metrics: Pick<ForwardingMetrics, "recordReadLimit">;
}

/** Opens a UDP socket. Datagrams that can't be sent or received are lost. Only the socket's first error is logged. */
export function openDatagramChannel(options: DatagramChannelOptions): OpenDatagramChannel {
    const { listen, clock, eventLog, metrics } = options;
    const socket = createSocket("udp4");
    let hasFailed = false;
    socket.on("error", error => {
        if (!hasFailed) {
            hasFailed = true;
            eventLog.record(EventKind.Fault, { reason: `UDP socket for datagrams to peers: ${error.message}` });
        }
    });
    socket.bind(listen.port, listen.address);

    const recordLimited = (from: PeerAddress) => {
        metrics.recordReadLimit(ByteSource.Peer, "time");
        eventLog.record(EventKind.ReadLimited, { limit: "time", remote: from.host });
    };

    class UdpChannel extends DatagramChannel {
        override send(to: PeerAddress, datagram: Buffer): void {
            // Errors for an unreachable peer are ignored here: its failure is detected by the absence of its datagrams.
            socket.send(datagram, to.port, to.host, () => undefined);
        }

        override onDatagram(listener: (datagram: Buffer, from: PeerAddress) => void): void {
            const receive = limitSenders(clock, listener, recordLimited);
            socket.on("message", (datagram, sender) => receive(datagram, { host: sender.address, port: sender.port }));
        }
    }
    return { channel: new UdpChannel(), close: () => socket.close() };
}
