import { splitAddress } from "../../connection/peerSockets.js";
import type { VmEntry, VmListing } from "../../ports/vmList.js";
import type { DialingPeerNetwork } from "../peers/index.js";

/** Addresses where members may be found. */
export interface SeedList {
    /** Has the seeds dialed. */
    connect(): void;
    recordFound(address: string): void;
    /** Has listed peers dialed, and no longer counts seeds that are not listed. */
    applyListing(listing: VmListing): void;
    /** Seeds behind which nobody has been found yet: a process that starts cut off must not take itself for the cell. */
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

    /** The list may give an address with or without a port. */
    const isListed = (seed: string, entry: VmEntry) =>
        entry.address === seed || entry.address === splitAddress(seed).host;

    const applyListing = (listing: VmListing) => {
        missing = missing.filter(seed => listing.entries.some(entry => isListed(seed, entry)));
        const addresses = listing.entries.map(entry => readPeerAddress?.(entry)).filter(address =>
            address !== undefined
        );
        const gone = [...listed].filter(address => !addresses.includes(address) && !found.has(address));
        gone.forEach(address => network.disconnect(address));
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
