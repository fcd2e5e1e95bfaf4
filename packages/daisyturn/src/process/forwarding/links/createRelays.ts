import type { Clock, Random } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../ports/peerRegistry.js";
import { createExpiringSet } from "./createExpiringSet.js";

/** The peers by way of which this process can reach targets. */
export interface Relays {
    /** Lists the peers to ask for a connection to an address, in this order. */
    list(address: string): readonly RegisteredPeer[];
    find(peerId: string): RegisteredPeer | undefined;
    /** Whether any other process is known. */
    hasPeers(): boolean;
    recordOpened(peerId: string, address: string): void;
    /** Records that a peer did not open a connection to an address. */
    recordRefused(peerId: string, address: string): void;
    /** Records that a peer could not be reached. */
    recordUnreachable(peerId: string): void;
}

/** What {@link createRelays} needs. */
export interface RelaysOptions {
    readonly selfId: string;
    readonly availabilityZone: string;
    readonly listPeers: () => readonly RegisteredPeer[];
    /** Called if no peer can be asked, since the list of peers may be outdated. */
    readonly refreshPeers: () => void;
    readonly random: Random;
    readonly clock: Clock;
}

/** A peer that was not available is not asked again for this long. */
const avoidMilliseconds = 1_000;
/** A peer that has opened a connection is asked first for this long; then the choice is made anew. */
const preferMilliseconds = 5_000;
/** Peers of the own zone that are asked before those of others, since the whole zone may be cut off. */
const zonePeersFirst = 3;

/** Creates the choice of one process. */
export function createRelays(options: RelaysOptions): Relays {
    const { selfId, availabilityZone, random, clock } = options;
    /** Unavailable peers, alone or with an address. */
    const avoided = createExpiringSet(clock, avoidMilliseconds);
    /** Peers with an address to which they have opened connections. */
    const preferred = createExpiringSet(clock, preferMilliseconds);

    const nameRoute = (peerId: string, address: string) => `${peerId} ${address}`;
    const listOthers = () => options.listPeers().filter(({ peerId }) => peerId !== selfId);

    return {
        list: address => {
            const available = listOthers().filter(({ peerId }) =>
                !avoided.has(peerId) && !avoided.has(nameRoute(peerId, address))
            );
            if (available.length === 0) {
                options.refreshPeers();
            }
            // The random order spreads the load. Traffic between availability zones has a price.
            const shuffled = shuffle(available, random);
            const isPreferred = ({ peerId }: RegisteredPeer) => preferred.has(nameRoute(peerId, address));
            const inZone = shuffled.filter(peer => peer.availabilityZone === availabilityZone && !isPreferred(peer));
            const remote = shuffled.filter(peer => peer.availabilityZone !== availabilityZone && !isPreferred(peer));
            return [
                ...shuffled.filter(isPreferred),
                ...inZone.slice(0, zonePeersFirst),
                ...remote,
                ...inZone.slice(zonePeersFirst),
            ];
        },
        find: peerId => listOthers().find(peer => peer.peerId === peerId),
        hasPeers: () => listOthers().length > 0,
        recordOpened: (peerId, address) => {
            const route = nameRoute(peerId, address);
            if (!preferred.has(route)) {
                preferred.add(route);
            }
        },
        recordRefused: (peerId, address) => {
            avoided.add(nameRoute(peerId, address));
            preferred.delete(nameRoute(peerId, address));
        },
        recordUnreachable: peerId => avoided.add(peerId),
    };
}

function shuffle<Item>(items: readonly Item[], random: Random): Item[] {
    return items
        .map(item => ({ item, order: random.fraction() }))
        .sort((left, right) => left.order - right.order)
        .map(({ item }) => item);
}
