import { splitAddress } from "../../connection/peerSockets.js";
import type { VmEntry, VmListing } from "../../ports/vmList.js";
import type { DialingPeerNetwork } from "../peers/index.js";

/** Addresses used to discover members. */
export interface SeedList {
    /** Connects to the seeds. */
    connect(): void;
    recordFound(address: string): void;
    /** Connects to the listed peers, and no longer counts seeds that are not listed. */
    applyListing(listing: VmListing): void;
    /**
     * Counts the seeds at which no member has been found yet. They count as members, so that a process that starts
     * partitioned does not consider itself a majority.
     */
    countMissing(): number;
}

export function createSeedList(
    seeds: readonly string[],
    readPeerAddress: ((entry: VmEntry) => string | undefined) | undefined,
    network: DialingPeerNetwork,
): SeedList {
    const found = new Set<string>();
    let listed = new Set<string>();
    let missing = [...new Set(seeds)];

    const isOther = (address: string) => address !== network.self.peerAddress;

    /** The VM list may contain addresses with or without a port. */
    const isListed = (seed: string, entry: VmEntry) =>
        entry.address === seed || entry.address === splitAddress(seed).host;

    const applyListing = (listing: VmListing) => {
        missing = missing.filter(seed => listing.entries.some(entry => isListed(seed, entry)));
        const addresses = listing.entries.map(entry => readPeerAddress?.(entry)).filter(address =>
            address !== undefined
        );
        const removed = [...listed].filter(address => !addresses.includes(address) && !found.has(address));
        removed.forEach(address => network.disconnect(address));
        listed = new Set(addresses);
        addresses.filter(isOther).forEach(address => network.connect(address));
    };

    return {
        connect: () => seeds.filter(isOther).forEach(address => network.connect(address)),
        recordFound: address => void found.add(address),
        applyListing,
        countMissing: () => missing.filter(seed => isOther(seed) && !found.has(seed)).length,
    };
}
