import { type Clock, createSignal } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../ports/peerRegistry.js";
import type { CrashEvidence } from "../../crashes/index.js";
import type { SizeFairness } from "../limits/createSizeFairness.js";
import type { SpeedSample } from "../speeds/speedEntries.js";
import { roundRates } from "../views/createPrefillDemand.js";
import type { TargetViews } from "../views/createTargetViews.js";
import type { CoordinatorLink } from "./createCoordinatorLink.js";
import { encodeLoadMessage, type LoadMessage } from "./messages/loadMessage.js";
import type { PeerAddress } from "./peerChannel.js";

/** What {@link createLoadPublisher} needs. */
export interface LoadPublisherOptions {
    readonly selfId: string;
    readonly views: Pick<
        TargetViews,
        | "loads"
        | "health"
        | "caches"
        | "demand"
        | "leastDemand"
        | "firstReads"
        | "closed"
        | "slowdowns"
        | "prefillRates"
        | "eventIntervals"
        | "speeds"
    >;
    readonly sizeFairness: SizeFairness;
    readonly link: Pick<CoordinatorLink, "listReportReceivers" | "current" | "isSilent">;
    /** Returns the number of the last placement received from a coordinator. */
    readonly lastReceived: (peerId: string) => number;
    readonly evidence: Pick<CrashEvidence, "digest">;
    readonly send: (to: PeerAddress, datagram: Buffer) => void;
    readonly clock: Clock;
}

/** Sends the load and the observations of this process to the coordinators. */
export interface LoadPublisher {
    run(signal: AbortSignal): Promise<void>;
}

/** Interval between two messages to the coordinator while the load changes. */
const coordinatorMilliseconds = 100;
/** Interval between two messages to the standby that takes over from the coordinator, while the load changes. */
const standbyMilliseconds = 500;
/** Interval between two messages while nothing changes, and to a process that does not answer. */
const idleMilliseconds = 1_000;
/**
 * Maximum length of each list of updates in a message; only the latest ones are sent, because they are the most
 * informative.
 */
const maxUpdates = 20;

/** The fields of a load message that cover the time since the last message. */
interface Updates extends Pick<LoadMessage, "kept" | "paces" | "prefills" | "pauses" | "ended"> {
    readonly speeds: readonly DrainedSample[];
}

interface DrainedSample extends SpeedSample {
    /** Monotonic time at which its age was determined. */
    readonly drainedAt: number;
}

const noUpdates: Updates = { kept: [], paces: [], prefills: [], pauses: [], ended: [], speeds: [] };

export function createLoadPublisher(options: LoadPublisherOptions): LoadPublisher {
    const { selfId, views, sizeFairness, link, evidence, clock } = options;
    const {
        loads,
        health,
        caches,
        demand,
        leastDemand,
        firstReads,
        closed,
        slowdowns,
        prefillRates,
        eventIntervals,
        speeds,
    } = views;
    const changed = createSignal();
    const unsent = new Map<string, Updates>();
    const sentAt = new Map<string, number>();
    let kept: LoadMessage["kept"][number][] = [];
    let hasChanged = false;
    loads.onChanged(() => {
        hasChanged = true;
        changed.raise();
    });
    caches.onRecorded(placement => kept.push(placement));

    const drainUpdates = (): Updates => {
        const updates: Updates = {
            kept,
            paces: slowdowns.drainUnsent(),
            prefills: prefillRates.drainUnsent(),
            pauses: eventIntervals.drainUnsent(),
            ended: sizeFairness.drainUnsent(),
            speeds: speeds.drainUnsent().map(sample => ({ ...sample, drainedAt: clock.monotonicNow() })),
        };
        kept = [];
        return updates;
    };

    const intervalFor = (peer: RegisteredPeer) => {
        if (link.isSilent(peer)) {
            return idleMilliseconds;
        }
        return peer.peerId === link.current()?.peerId ? coordinatorMilliseconds : standbyMilliseconds;
    };

    const isDue = (peer: RegisteredPeer) =>
        clock.monotonicNow() - (sentAt.get(peer.peerId) ?? -Infinity) >= intervalFor(peer) - 1;

    const sendTo = (peer: RegisteredPeer) => {
        const updates = unsent.get(peer.peerId) ?? noUpdates;
        unsent.delete(peer.peerId);
        sentAt.set(peer.peerId, clock.monotonicNow());
        options.send(
            peer,
            encodeLoadMessage({
                from: selfId,
                pause: idleMilliseconds,
                isGroup: false,
                placed: options.lastReceived(peer.peerId),
                work: loads.listOwn(),
                demand: roundRates(demand.listOwn()),
                leastDemand: roundRates(leastDemand.listOwn()),
                firstReads: roundRates(firstReads.listOwn()),
                closed: closed.listOwn(),
                failing: health.listOwnFailing(),
                evidence: evidence.digest(),
                ...updates,
                speeds: updates.speeds.map(({ drainedAt, ...sample }) => ({
                    ...sample,
                    age: sample.age + clock.monotonicNow() - drainedAt,
                })),
                groupSpeeds: [],
            }),
        );
    };

    const publishAll = () => {
        hasChanged = false;
        const updates = drainUpdates();
        const receivers = link.listReportReceivers();
        receivers.forEach(peer => unsent.set(peer.peerId, joinUpdates(unsent.get(peer.peerId) ?? noUpdates, updates)));
        receivers.filter(isDue).forEach(sendTo);
    };

    return {
        run: async signal => {
            while (!signal.aborted) {
                publishAll();
                const nextAt = clock.monotonicNow() + coordinatorMilliseconds;
                await clock.sleepUntil(nextAt, signal);
                const isPending = [...unsent.values()].some(updates => countUpdates(updates) > 0);
                if (sentAt.size === 0) {
                    // The first report goes out when the registry has been read, so that it is not read again.
                    continue;
                }
                const idleUntil = nextAt + (isPending ? standbyMilliseconds : idleMilliseconds)
                    - coordinatorMilliseconds;
                if (!hasChanged) {
                    await changed.wait(clock, idleUntil, signal);
                }
            }
        },
    };
}

function joinUpdates(left: Updates, right: Updates): Updates {
    return {
        kept: [...left.kept, ...right.kept].slice(-maxUpdates),
        paces: [...left.paces, ...right.paces].slice(-maxUpdates),
        prefills: [...left.prefills, ...right.prefills].slice(-maxUpdates),
        pauses: [...left.pauses, ...right.pauses].slice(-maxUpdates),
        ended: [...left.ended, ...right.ended].slice(-maxUpdates),
        speeds: [...left.speeds, ...right.speeds].slice(-maxUpdates),
    };
}

function countUpdates({ kept, paces, prefills, pauses, ended, speeds }: Updates): number {
    return kept.length + paces.length + prefills.length + pauses.length + ended.length + speeds.length;
}
