import { createPeerNetwork, type ProcessIdentity } from "daisyturn";
import { createHybridLogicalClock, createSeededRandom, type EventLog, hashText, SystemClock } from "daisyturn-utils";

export interface MeasuredPeerOptions {
    readonly id: string;
    /** Peer addresses, separated by commas. */
    readonly seeds: string;
    readonly cell?: string;
    readonly eventLog: EventLog;
}

/** Creates the peer network of a measured process on a free loopback port, with its identity, clock and randomness. */
export function createMeasuredPeer({ id, seeds, cell, eventLog }: MeasuredPeerOptions) {
    const clock = new SystemClock();
    const random = createSeededRandom(Number.parseInt(hashText(id).slice(0, 7), 16));
    const self: ProcessIdentity = {
        processId: id,
        incarnation: `${id}-${String(Date.now()).padStart(15, "0")}`,
        vmId: `vm-${id}`,
        availabilityZone: "zone-1",
        peerAddress: "127.0.0.1:0",
    };
    const network = createPeerNetwork({
        self,
        listen: { host: "127.0.0.1", port: 0 },
        secret: "secret of the measured processes",
        cell,
        clock,
        hybridClock: createHybridLogicalClock(clock),
        eventLog,
        random,
    });
    return { clock, random, self, network, seeds: seeds.split(",").filter(seed => seed !== "") };
}
