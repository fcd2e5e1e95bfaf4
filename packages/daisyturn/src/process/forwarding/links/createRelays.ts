import type { Clock, Random } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../ports/peerRegistry.js";

/** The peers by way of which this process can reach targets. */
export interface Relays {
    /** Lists the peers to ask for a connection to an address, in this order. */
    list(address: string): readonly RegisteredPeer[];
    /** Whether any other process is known. */
    hasPeers(): boolean;
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
/** Entries beyond this number are removed once they have expired. */
const maxAvoided = 4_096;

/** Creates the choice of one process. */
export function createRelays(options: RelaysOptions): Relays {
    const { selfId, availabilityZone, random, clock } = options;
    /** Monotonic expiry time by peer, or by peer and address. */
    const avoided = new Map<string, number>();

    const avoid = (key: string) => {
        const now = clock.monotonicNow();
        if (avoided.size >= maxAvoided) {
            avoided.forEach((expiresAt, known) => expiresAt <= now && avoided.delete(known));
        }
        avoided.set(key, now + avoidMilliseconds);
    };
    const isAvoided = (key: string) => (avoided.get(key) ?? -Infinity) > clock.monotonicNow();
    const nameRoute = (peerId: string, address: string) => `${peerId} ${address}`;
    const listOthers = () => options.listPeers().filter(({ peerId }) => peerId !== selfId);

    return {
        list: address => {
            const available = listOthers().filter(({ peerId }) =>
                !isAvoided(peerId) && !isAvoided(nameRoute(peerId, address))
            );
            if (available.length === 0) {
                options.refreshPeers();
            }
            // Traffic between availability zones has a price. Among peers of a zone, a random order spreads the load.
            return available
                .map(peer => ({ peer, isRemote: Number(peer.availabilityZone !== availabilityZone) }))
                .map(entry => ({ ...entry, order: random.fraction() }))
                .sort((left, right) => left.isRemote - right.isRemote || left.order - right.order)
                .map(({ peer }) => peer);
        },
        hasPeers: () => listOthers().length > 0,
        recordRefused: (peerId, address) => avoid(nameRoute(peerId, address)),
        recordUnreachable: peerId => avoid(peerId),
    };
}
