import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { createSocket } from "node:dgram";
import {
    ByteSource,
    DatagramChannel,
    type ForwardingMetrics,
    type PeerAddress,
} from "../../process/forwarding/index.js";
import type { ListenAddress } from "../caller/callerServerOptions.js";
import { listenRetryMilliseconds } from "../listenWhenFree.js";
import { createDroppedTime } from "./createDroppedTime.js";
import { limitSenders } from "./limitSenders.js";

/** A channel over UDP, with a function that closes its socket. */
export interface OpenDatagramChannel {
    readonly channel: DatagramChannel;
    /** Milliseconds since the start that were taken by datagrams that were dropped. */
    droppedMilliseconds(): number;
    close(): void;
}

/** What {@link openDatagramChannel} needs. */
export interface DatagramChannelOptions {
    readonly listen: ListenAddress;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly metrics: Pick<ForwardingMetrics, "recordReadLimit">;
}

/**
 * Opens a UDP socket. While its port can't be had, it is tried again until it is closed. Datagrams that can't be sent or
 * received are lost. Of the errors in a row, the first is logged.
 */
export function openDatagramChannel({ listen, clock, eventLog, metrics }: DatagramChannelOptions): OpenDatagramChannel {
    const socket = createSocket("udp4");
    const closing = new AbortController();
    const droppedTime = createDroppedTime();
    const names = { listener: "peer datagrams", address: `${listen.address}:${listen.port}` };
    let isOpen = false;
    let isAwaited = false;
    let hasFailed = false;

    const bind = () => {
        if (!closing.signal.aborted) {
            socket.bind(listen.port, listen.address);
        }
    };
    socket.on("listening", () => {
        isOpen = true;
        if (isAwaited) {
            eventLog.record(EventKind.AddressOpened, names);
        }
    });
    socket.on("error", (error: NodeJS.ErrnoException) => {
        if (isOpen) {
            if (!hasFailed) {
                hasFailed = true;
                eventLog.record(EventKind.Fault, { reason: `UDP socket for datagrams to peers: ${error.message}` });
            }
            return;
        }
        if (!isAwaited) {
            isAwaited = true;
            eventLog.record(EventKind.AddressAwaited, { ...names, reason: error.code });
        }
        void clock.sleepUntil(clock.monotonicNow() + listenRetryMilliseconds, closing.signal).then(bind);
    });
    bind();

    const recordLimited = (from: PeerAddress) => {
        metrics.recordReadLimit(ByteSource.Peer, "time");
        eventLog.record(EventKind.ReadLimited, { limit: "time", remote: from.host });
    };

    class UdpChannel extends DatagramChannel {
        override send(to: PeerAddress, datagram: Buffer): void {
            // Node.js would bind a socket that is not bound to any free port, at which no peer expects this process.
            if (isOpen || !isAwaited) {
                // Errors for an unreachable peer are ignored here: its failure is detected by the absence of its datagrams.
                socket.send(datagram, to.port, to.host, () => undefined);
            }
        }

        override onDatagram(listener: (datagram: Buffer, from: PeerAddress) => void): void {
            const receive = limitSenders(clock, listener, recordLimited, droppedTime.record);
            socket.on("message", (datagram, sender) => receive(datagram, { host: sender.address, port: sender.port }));
        }
    }
    return {
        channel: new UdpChannel(),
        droppedMilliseconds: droppedTime.milliseconds,
        close: () => {
            closing.abort();
            socket.close();
        },
    };
}
