import { type Clock, createSignal } from "daisyturn-utils";
import type { CrashEvidence } from "../../crashes/index.js";
import { roundRates } from "../views/createPrefillDemand.js";
import type { TargetViews } from "../views/createTargetViews.js";
import type { CoordinatorLink } from "./createCoordinatorLink.js";
import type { Members } from "./createMembers.js";
import type { TableReader } from "./createTableReader.js";
import { encodeLoadMessage, type LoadMessage } from "./messages/loadMessage.js";
import type { PeerAddress } from "./peerChannel.js";

/** What {@link createGroupLoadPublisher} needs. */
export interface GroupLoadPublisherOptions {
    readonly selfId: string;
    readonly views: Pick<
        TargetViews,
        "loads" | "health" | "caches" | "demand" | "leastDemand" | "firstReads" | "closed" | "links" | "speeds"
    >;
    readonly members: Pick<Members, "list">;
    readonly link: Pick<CoordinatorLink, "listOtherCandidates" | "current">;
    readonly evidence: Pick<CrashEvidence, "digest">;
    readonly reader: Pick<TableReader, "isLost">;
    readonly send: (to: PeerAddress, datagram: Buffer) => void;
    readonly clock: Clock;
}

/** Sends the load of this process's group to the coordinators of other groups. */
export interface GroupLoadPublisher {
    run(signal: AbortSignal): Promise<void>;
}

/** Interval between two messages; traffic between availability zones has a price. */
export const groupReportMilliseconds = 200;
const idleMilliseconds = 1_000;
/** Maximum number of placements in a message; only the latest ones are sent, because they are the most informative. */
const maxPlacements = 20;

/** Creates the publisher of one process, which sends only while the process coordinates its group. */
export function createGroupLoadPublisher(
    { selfId, views, members, link, evidence, reader, send, clock }: GroupLoadPublisherOptions,
): GroupLoadPublisher {
    const { loads, health, caches, demand, leastDemand, firstReads, closed, links, speeds } = views;
    let kept: LoadMessage["kept"][number][] = [];
    const changed = createSignal();
    let wasBusy = false;
    let sentAt = -Infinity;
    closed.onChanged(changed.raise);
    caches.onRecorded(placement => {
        kept = [...kept, placement].slice(-maxPlacements);
    });

    const describeGroup = (): LoadMessage => ({
        from: selfId,
        pause: idleMilliseconds,
        isGroup: true,
        isCutOff: links.isCutOff(),
        isStoreLost: reader.isLost(),
        placed: 0,
        work: loads.listGroup(),
        demand: roundRates(demand.listGroup()),
        leastDemand: roundRates(leastDemand.listGroup()),
        firstReads: roundRates(firstReads.listGroup()),
        closed: closed.listOwn(),
        failing: health.listGroupFailing(),
        kept,
        paces: [],
        prefills: [],
        pauses: [],
        ended: [],
        reporting: members.list().length + 1,
        speeds: [],
        groupSpeeds: speeds.listGroupEstimates(),
        evidence: evidence.digest(),
    });

    /**
     * Sends while the group is busy, once more after its last call to report that nothing is left, and otherwise at the
     * idle interval to report that the group has a coordinator.
     */
    const publish = () => {
        const message = describeGroup();
        const isBusy = message.work.length > 0 || message.kept.length > 0 || message.closed.length > 0;
        if (isBusy || wasBusy || clock.monotonicNow() - sentAt >= idleMilliseconds) {
            const datagram = encodeLoadMessage(message);
            link.listOtherCandidates().forEach(peer => send(peer, datagram));
            sentAt = clock.monotonicNow();
            kept = [];
        }
        wasBusy = isBusy;
    };

    return {
        run: async signal => {
            while (!signal.aborted) {
                const isPublishing = link.current()?.peerId === selfId && link.listOtherCandidates().length > 0;
                if (isPublishing) {
                    publish();
                }
                const interval = isPublishing ? groupReportMilliseconds : idleMilliseconds;
                await changed.wait(clock, clock.monotonicNow() + interval, signal);
            }
        },
    };
}
