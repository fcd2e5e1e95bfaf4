import type { Clock } from "daisyturn-utils";
import type { PeerAddress } from "../../process/forwarding/index.js";
import { createTimeAllowance, type TimeAllowance } from "../bytes/createTimeAllowance.js";

/** Handles one datagram. */
export type DatagramListener = (datagram: Buffer, from: PeerAddress) => void;

/** More hosts than a fleet has. Anyone can name any host as the sender of a datagram, so further ones share an allowance. */
const maxHosts = 512;
const otherHosts = "other";
/** A coordinator sends more to a member than others do, and its messages are wanted most while the process is busy. */
const senderShare = 0.2;
const senderBurstMilliseconds = 100;
/** A process that stands still within a datagram would charge its sender for it. */
const maxChargedMilliseconds = 10;
/** Node.js reads datagrams one after another. A shorter time since the last one was taken by reading this one. */
const maxGapMilliseconds = 0.2;

/**
 * Drops datagrams of hosts whose datagrams take too much time, before they are parsed. Their senders rely on none.
 * @param onLimited called with the first datagram of a host that is dropped
 * @param onDropped called with each datagram that is dropped
 */
export function limitSenders(
    clock: Pick<Clock, "monotonicNow">,
    listener: DatagramListener,
    onLimited: (from: PeerAddress) => void,
    onDropped: () => void = () => undefined,
): DatagramListener {
    const allowances = new Map<string, TimeAllowance>();
    const limited = new Set<string>();
    let lastEndedAt = -Infinity;

    return (datagram, from) => {
        const name = allowances.size < maxHosts || allowances.has(from.host) ? from.host : otherHosts;
        const allowance = allowances.get(name) ?? createTimeAllowance(clock, senderShare, senderBurstMilliseconds);
        allowances.set(name, allowance);
        if (allowance.isSpent()) {
            if (!limited.has(name)) {
                limited.add(name);
                onLimited(from);
            }
            onDropped();
            return;
        }
        const receivedAt = clock.monotonicNow();
        const startedAt = receivedAt - lastEndedAt <= maxGapMilliseconds ? lastEndedAt : receivedAt;
        listener(datagram, from);
        lastEndedAt = clock.monotonicNow();
        allowance.spend(Math.min(lastEndedAt - startedAt, maxChargedMilliseconds));
    };
}
