import { createSeededRandom, FakeClock } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../../ports/peerRegistry.js";
import type { NotificationReceiver, PeerExchange } from "../../../forwarding/coordination/exchange/peerExchange.js";
import { parseNotification } from "../../../forwarding/coordination/messages/notification.js";
import { createUsageExchange } from "../createUsageExchange.js";

export const windowMilliseconds = 5_000;

/** A clock with a wall clock of its own. */
class OffsetClock extends FakeClock {
    offset = 0;
    constructor(private readonly base: FakeClock) {
        super();
    }
    override monotonicNow(): number {
        return this.base.monotonicNow();
    }
    override wallNow(): number {
        return this.base.wallNow() + this.offset;
    }
    override sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
        return this.base.sleepUntil(deadline, signal);
    }
}

/** What a fleet of {@link createUsageFleet} is like; the defaults are one group, no loss and exact clocks. */
export interface UsageFleetOptions {
    readonly size: number;
    readonly lostFraction?: number;
    readonly clockOffsets?: readonly number[];
    readonly seed?: number;
    readonly zoneOf?: (index: number) => string;
}

/** Creates processes over a network that loses datagrams. The first two of each zone coordinate it until this is changed. */
export function createUsageFleet({ size, lostFraction = 0, clockOffsets = [], seed = 7, zoneOf }: UsageFleetOptions) {
    const clock = new FakeClock();
    const random = createSeededRandom(seed);
    const receivers = new Map<string, NotificationReceiver>();
    /** Datagrams for processes that are suspended, which read them afterwards. */
    const unread = new Map<string, (() => void)[]>();
    const peers = Array.from({ length: size }, (value, index): RegisteredPeer => ({
        peerId: `p${index}`,
        host: `h${index}`,
        port: 1,
        availabilityZone: zoneOf?.(index) ?? "z",
        strength: 1,
    }));
    const zones = [...new Set(peers.map(peer => peer.availabilityZone))];
    const coordinators = new Map(
        zones.map(zone => [zone, peers.filter(peer => peer.availabilityZone === zone).slice(0, 2)]),
    );
    let sent = 0;
    let starts = 0;

    const start = (self: RegisteredPeer, offset: number) => {
        const ownClock = new OffsetClock(clock);
        ownClock.offset = offset;
        let isDead = false;
        const listGroupCoordinators = () => coordinators.get(self.availabilityZone) ?? [];
        const exchange: PeerExchange = {
            self,
            listPeers: () => peers,
            listGroupCoordinators,
            listCoordinators: () => [
                ...listGroupCoordinators(),
                ...zones.filter(zone => zone !== self.availabilityZone).flatMap(zone => coordinators.get(zone) ?? []),
            ],
            isKnown: () => true,
            send: (to, datagram) => {
                const notification = parseNotification(datagram);
                sent += 1;
                if (isDead || !notification || random.fraction() < lostFraction) {
                    return;
                }
                const name = peers.find(({ host }) => host === to.host)!.peerId;
                const deliver = () => receivers.get(name)?.(notification, self);
                const waiting = unread.get(name);
                if (waiting) {
                    waiting.push(deliver);
                }
                else {
                    queueMicrotask(deliver);
                }
            },
            addReceiver: receiver => receivers.set(self.peerId, receiver),
        };
        const stopper = new AbortController();
        const incarnation = `${self.peerId}-${++starts}`;
        const usage = createUsageExchange({ peers: exchange, incarnation, windowMilliseconds, clock: ownClock });
        void usage.run(stopper.signal);
        const kill = () => {
            isDead = true;
            receivers.delete(self.peerId);
            stopper.abort();
        };
        return { usage, clock: ownClock, kill };
    };

    const processes = peers.map((self, index) => start(self, clockOffsets[index] ?? 0));
    const collect = async (index: number, window: number) => {
        const collected = processes[index]!.usage.collect(window);
        await clock.advance(1_000);
        const { counts, isComplete } = await collected;
        return { counts: Object.fromEntries(counts), isComplete };
    };
    return {
        clock,
        processes,
        currentWindow: () => Math.floor(clock.wallNow() / windowMilliseconds),
        collect,
        countSent: () => sent,
        /** Changes the coordinators of a zone, as all processes know them from then on. */
        setCoordinators: (zone: string, indexes: readonly number[]) =>
            coordinators.set(zone, indexes.map(index => peers[index]!)),
        /** Ends a process and starts it again under the same name, without any of its state. */
        restart: (index: number, offset = 0) => {
            processes[index]!.kill();
            unread.delete(peers[index]!.peerId);
            processes[index] = start(peers[index]!, offset);
        },
        /** Keeps a process from reading datagrams. */
        suspend: (index: number) => unread.set(peers[index]!.peerId, []),
        /** Lets a process read the datagrams that have arrived in the meantime. */
        resume: (index: number) => {
            const { peerId } = peers[index]!;
            const deliveries = unread.get(peerId) ?? [];
            unread.delete(peerId);
            deliveries.forEach(deliver => deliver());
        },
    };
}
