import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import type { PeerRegistry, RegisteredPeer } from "../../ports/peerRegistry.js";
import { encodeLoadMessage, parseLoadMessage } from "./loadMessage.js";
import type { ClosedTargets } from "./targets/createClosedTargets.js";
import type { CacheBeliefs, PartPlacement } from "./views/createCacheBeliefs.js";
import type { ReadingDemand } from "./views/createReadingDemand.js";
import type { TargetLoads } from "./views/createTargetLoads.js";

/** Sends and takes datagrams; none is repeated, since the next one says all again. */
export abstract class DatagramChannel {
    abstract send(peer: RegisteredPeer, datagram: Buffer): void;
    abstract onDatagram(listener: (datagram: Buffer) => void): void;
}

/** What {@link shareLoads} needs. */
export interface ShareLoadsOptions {
    readonly self: RegisteredPeer;
    readonly registry: PeerRegistry;
    readonly channel: DatagramChannel;
    readonly loads: TargetLoads;
    readonly caches: CacheBeliefs;
    readonly demand: ReadingDemand;
    readonly closed: ClosedTargets;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** What this process knows of its peers. */
export interface PeerView {
    /** Longest pause between two datagrams to any peer while an engine is kept closed, in milliseconds. */
    pause(): number;
    /** Whether no peer that was heard lately has a name that sorts before this process's. */
    isFirst(): boolean;
}

/** Pause between two datagrams to each peer while there are few of them: about the time that a call runs. */
const shortestPauseMilliseconds = 100;
/**
 * Datagrams that a process sends in a second to the peers of its availability zone, whatever their number: bounds what
 * the exchange costs each machine. Processes of a zone use the same engines first, so they hear each other most often.
 */
const mostNearDatagramsPerSecond = 160;
/**
 * The same for the peers of other zones, while they are few and all zones share the engines; and while they are many:
 * then what they tell serves only where a zone's own engines are full, and at 60 a second it was half of all bytes that
 * 64 processes sent between zones, which are paid for.
 */
const mostFarDatagramsPerSecond = 60;
const leastFarDatagramsPerSecond = 20;
/** Up to this many peers of other zones hear each datagram at the higher rate; beyond, the rate falls as they grow. */
const fewFarPeers = 15;
/** Pause between two looks at the registry, which are priced, for each peer: the more there are, the less one counts. */
const registryPausePerPeer = 400;
const shortestRegistryPause = 5_000;
const longestRegistryPause = 15_000;
/** Until the first peers are found, and after a failure. */
const registryRetryMilliseconds = 1_000;
const registryTimeoutMilliseconds = 1_000;
const millisecondsPerSecond = 1_000;
/** A peer that was not heard for so long and one more pause is idle or has ended. */
const heardMilliseconds = 2_000;
/** Longest list of placements told at once; what is beyond it is learned from the next ones. */
const mostPlacements = 20;

/**
 * Tells the other processes what this one has under way at which target and where it has placed which part of prompts,
 * and takes in what they tell, until the signal is aborted. Engines report their load late and some answers don't
 * report it at all, so without this each process would see only its own part of a queue.
 */
export function shareLoads(options: ShareLoadsOptions, signal: AbortSignal): PeerView {
    const { self, channel, loads, caches, demand, closed, clock, eventLog } = options;
    const heardAt = new Map<string, number>();
    const near = createPeerGroup(mostNearDatagramsPerSecond);
    const far = createPeerGroup(mostFarDatagramsPerSecond);
    const groups = [near, far];
    let unreadable = 0;

    channel.onDatagram(datagram => {
        const message = parseLoadMessage(datagram);
        if (message && message.from !== self.peerId) {
            heardAt.set(message.from, clock.monotonicNow());
            loads.notePeer(message.from, message.work, message.pause);
            demand.notePeer(message.from, message.demand, message.pause);
            closed.notePeer(message.from, message.closed);
            message.kept.forEach(([targetId, partId, tokens]) => caches.noteTold(targetId, partId, tokens));
        }
    });

    const tell = (group: PeerGroup) => {
        const placements = caches.takeNew(mostPlacements);
        groups.forEach(({ untold }) => untold.push(...placements));
        const work = loads.listOwn();
        const kept = group.untold.splice(0).slice(-mostPlacements);
        const closings = closed.listOwn();
        const isBusy = work.length > 0 || kept.length > 0 || closings.length > 0;
        // One more message after the last call tells that nothing is left.
        if (isBusy || group.wasBusy) {
            const datagram = encodeLoadMessage({
                from: self.peerId,
                pause: Math.round(pauseOf(group)),
                work,
                kept,
                demand: demand.listOwn().map(([service, rate]) => [service, Math.round(rate)]),
                closed: closings,
            });
            group.peers.forEach(peer => channel.send(peer, datagram));
        }
        group.wasBusy = isBusy;
    };

    const urgentPause = (group: PeerGroup) => pauseOf({ ...group, datagramsPerSecond: mostNearDatagramsPerSecond });

    /** Engines that are about to change are told at once, since none may be sent work once its order is given. */
    const isDue = (group: PeerGroup) =>
        closed.listOwn().length > 0 || clock.monotonicNow() - group.toldAt >= pauseOf(group);

    const takePeers = (found: readonly RegisteredPeer[]) => {
        const others = found.filter(peer => peer.peerId !== self.peerId);
        near.peers = others.filter(peer => peer.availabilityZone === self.availabilityZone);
        far.peers = others.filter(peer => peer.availabilityZone !== self.availabilityZone);
        far.datagramsPerSecond = findFarRate(far.peers.length);
    };

    const noteUnreadable = (count: number) => {
        if (count !== unreadable) {
            unreadable = count;
            eventLog.record(EventKind.Fault, { reason: "entries of peers can't be read", count });
        }
    };

    const findPeers = async () => {
        while (!signal.aborted) {
            const found = await options.registry.refresh(self, clock.monotonicNow() + registryTimeoutMilliseconds);
            if (found.isOk) {
                takePeers(found.value.peers);
                noteUnreadable(found.value.unreadable);
            }
            else {
                eventLog.record(EventKind.Fault, { reason: `peers could not be read: ${found.error.message}` });
            }
            const peerCount = near.peers.length + far.peers.length;
            const longPause = Math.min(longestRegistryPause, peerCount * registryPausePerPeer);
            const hasFound = found.isOk && peerCount > 0;
            const pause = hasFound ? Math.max(shortestRegistryPause, longPause) : registryRetryMilliseconds;
            await clock.sleepUntil(clock.monotonicNow() + pause, signal);
        }
    };

    const tellAll = async (group: PeerGroup) => {
        while (!signal.aborted) {
            await clock.sleepUntil(clock.monotonicNow() + urgentPause(group), signal);
            if (isDue(group)) {
                tell(group);
                group.toldAt = clock.monotonicNow();
            }
        }
    };

    void findPeers();
    groups.forEach(group => void tellAll(group));
    return {
        pause: () => Math.max(...groups.map(urgentPause)),
        isFirst: () => {
            const oldest = clock.monotonicNow() - heardMilliseconds - Math.max(...groups.map(pauseOf));
            return [...heardAt].every(([peerId, at]) => at < oldest || peerId > self.peerId);
        },
    };
}

/** Peers that are told at one pace. */
interface PeerGroup {
    peers: readonly RegisteredPeer[];
    datagramsPerSecond: number;
    /** Placements that these peers have not been told. */
    readonly untold: PartPlacement[];
    wasBusy: boolean;
    /** Monotonic time. */
    toldAt: number;
}

function findFarRate(peerCount: number): number {
    const rate = mostFarDatagramsPerSecond * fewFarPeers / Math.max(1, peerCount);
    return Math.min(mostFarDatagramsPerSecond, Math.max(leastFarDatagramsPerSecond, rate));
}

function createPeerGroup(datagramsPerSecond: number): PeerGroup {
    return { peers: [], datagramsPerSecond, untold: [], wasBusy: false, toldAt: -Infinity };
}

function pauseOf({ peers, datagramsPerSecond }: Pick<PeerGroup, "peers" | "datagramsPerSecond">): number {
    return Math.max(shortestPauseMilliseconds, peers.length * millisecondsPerSecond / datagramsPerSecond);
}
