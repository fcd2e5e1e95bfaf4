import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import type { PeerRegistry, RegisteredPeer } from "../../ports/peerRegistry.js";
import type { CacheBeliefs, PartPlacement } from "./createCacheBeliefs.js";
import type { TargetLoads, WorkUnderWay } from "./createTargetLoads.js";

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
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** Pause between two datagrams to each peer while there are few of them: about the time that a call runs. */
const shortestPauseMilliseconds = 100;
/**
 * Datagrams that a process sends in a second, whatever the number of peers: bounds what the exchange costs each
 * machine. With more peers each hears less often, and their many small parts even out.
 */
const mostDatagramsPerSecond = 80;
const registryPauseMilliseconds = 5_000;
/** Until the first peers are found, and after a failure. */
const registryRetryMilliseconds = 1_000;
const registryTimeoutMilliseconds = 1_000;
const millisecondsPerSecond = 1_000;
/** Longest list of placements told at once; what is beyond it is learned from the next ones. */
const mostPlacements = 20;

const method = "load";

/** What a process tells its peers: the parameters of a JSON-RPC notification. */
interface LoadMessage {
    readonly from: string;
    /** Target, calls, milliseconds of work, milliseconds of deferred work. */
    readonly work: readonly (readonly [string, number, number, number])[];
    readonly kept: readonly PartPlacement[];
}

/**
 * Tells the other processes what this one has under way at which target and where it has placed which part of prompts,
 * and takes in what they tell, until the signal is aborted. Engines report their load late and some answers don't
 * report it at all, so without this each process would see only its own part of a queue.
 */
export async function shareLoads(options: ShareLoadsOptions, signal: AbortSignal): Promise<void> {
    const { self, channel, loads, caches, clock, eventLog } = options;
    let peers: readonly RegisteredPeer[] = [];
    let wasBusy = false;

    channel.onDatagram(datagram => {
        const message = parseMessage(datagram);
        if (message && message.from !== self.peerId) {
            loads.notePeer(message.from, message.work.map(toWork));
            message.kept.forEach(([targetId, partId, tokens]) => caches.noteTold(targetId, partId, tokens));
        }
    });

    const tell = () => {
        const work = loads.listOwn();
        const kept = caches.takeNew(mostPlacements);
        // One more message after the last call tells that nothing is left.
        if (work.length > 0 || kept.length > 0 || wasBusy) {
            const datagram = encodeMessage(self.peerId, work, kept);
            peers.forEach(peer => channel.send(peer, datagram));
        }
        wasBusy = work.length > 0;
    };

    const findPeers = async () => {
        while (!signal.aborted) {
            const found = await options.registry.refresh(self, clock.monotonicNow() + registryTimeoutMilliseconds);
            if (found.isOk) {
                peers = found.value.filter(peer => peer.peerId !== self.peerId);
            }
            else {
                eventLog.record(EventKind.Fault, { reason: `peers could not be read: ${found.error.message}` });
            }
            const pause = found.isOk && peers.length > 0 ? registryPauseMilliseconds : registryRetryMilliseconds;
            await clock.sleepUntil(clock.monotonicNow() + pause, signal);
        }
    };

    const finding = findPeers();
    while (!signal.aborted) {
        const pause = Math.max(
            shortestPauseMilliseconds,
            peers.length * millisecondsPerSecond / mostDatagramsPerSecond,
        );
        await clock.sleepUntil(clock.monotonicNow() + pause, signal);
        tell();
    }
    await finding;
}

function encodeMessage(
    from: string,
    work: readonly WorkUnderWay[],
    kept: readonly PartPlacement[],
): Buffer {
    const entries = work.map(({ targetId, calls, work: milliseconds, deferredWork }) => [
        targetId,
        calls,
        Math.round(milliseconds),
        Math.round(deferredWork),
    ]);
    return Buffer.from(JSON.stringify({ jsonrpc: "2.0", method, params: { from, work: entries, kept } }));
}

function toWork([targetId, calls, work, deferredWork]: LoadMessage["work"][number]): WorkUnderWay {
    return { targetId, calls, work, deferredWork };
}

/** Undefined for anything that is no message of a peer: anybody may send datagrams. */
function parseMessage(datagram: Buffer): LoadMessage | undefined {
    try {
        const message = JSON.parse(datagram.toString("utf8")) as { method?: unknown; params?: Partial<LoadMessage>; };
        const { from, work, kept } = message.params ?? {};
        const isSound = message.method === method && typeof from === "string"
            && isList(work, ["string", "number", "number", "number"]) && isList(kept, ["string", "string", "number"]);
        return isSound ? { from, work, kept } as LoadMessage : undefined;
    }
    catch {
        return undefined;
    }
}

function isList(value: unknown, types: readonly string[]): boolean {
    return Array.isArray(value)
        && value.every(entry => Array.isArray(entry) && types.every((type, index) => typeof entry[index] === type));
}
