import { type Clock, createSignal } from "daisyturn-utils";
import type { TargetViews } from "../views/createTargetViews.js";
import type { CoordinatorLink } from "./createCoordinatorLink.js";
import { encodeLoadMessage, type LoadMessage } from "./messages/loadMessage.js";
import type { PeerAddress } from "./peerChannel.js";

/** What {@link createGroupTeller} needs. */
export interface GroupTellerOptions {
    readonly selfId: string;
    readonly views: Pick<TargetViews, "loads" | "health" | "caches" | "demand" | "closed">;
    readonly link: Pick<CoordinatorLink, "listOtherCandidates" | "current">;
    readonly send: (to: PeerAddress, datagram: Buffer) => void;
    readonly clock: Clock;
}

/** Tells the coordinators of other groups what this one's group has under way. */
export interface GroupTeller {
    run(signal: AbortSignal): Promise<void>;
}

/** Pause between two messages; bytes between availability zones are paid for. */
export const groupMilliseconds = 200;
const idleMilliseconds = 1_000;
/** Longest list of placements told at once; of more, the last ones say most. */
const mostPlacements = 20;

/** Creates the teller of one process, which tells only while it coordinates its group. */
export function createGroupTeller({ selfId, views, link, send, clock }: GroupTellerOptions): GroupTeller {
    const { loads, health, caches, demand, closed } = views;
    let kept: LoadMessage["kept"][number][] = [];
    const news = createSignal();
    let wasBusy = false;
    let toldAt = -Infinity;
    closed.onChanged(news.raise);
    caches.onRecorded(placement => {
        kept = [...kept, placement].slice(-mostPlacements);
    });

    const describeGroup = (): LoadMessage => ({
        from: selfId,
        pause: idleMilliseconds,
        isGroup: true,
        placed: 0,
        work: loads.listGroup(),
        demand: demand.listGroup().map(([service, rate]) => [service, Math.round(rate)] as const),
        closed: closed.listOwn(),
        failing: health.listGroupFailing(),
        kept,
        paces: [],
        prefills: [],
        pauses: [],
        ended: [],
    });

    /** One more message after the last call tells that nothing is left; a regular one, that the group has a coordinator. */
    const tell = () => {
        const message = describeGroup();
        const isBusy = message.work.length > 0 || message.kept.length > 0 || message.closed.length > 0;
        if (isBusy || wasBusy || clock.monotonicNow() - toldAt >= idleMilliseconds) {
            const datagram = encodeLoadMessage(message);
            link.listOtherCandidates().forEach(peer => send(peer, datagram));
            toldAt = clock.monotonicNow();
            kept = [];
        }
        wasBusy = isBusy;
    };

    return {
        run: async signal => {
            while (!signal.aborted) {
                const mayTell = link.current()?.peerId === selfId && link.listOtherCandidates().length > 0;
                if (mayTell) {
                    tell();
                }
                const pause = mayTell ? groupMilliseconds : idleMilliseconds;
                await news.wait(clock, clock.monotonicNow() + pause, signal);
            }
        },
    };
}
