import { type Clock, createSignal } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../ports/peerRegistry.js";
import type { SizeFairness } from "../limits/createSizeFairness.js";
import type { TargetViews } from "../views/createTargetViews.js";
import type { CoordinatorLink } from "./createCoordinatorLink.js";
import { encodeLoadMessage, type LoadMessage } from "./messages/loadMessage.js";
import type { PeerAddress } from "./peerChannel.js";

/** What {@link createLoadTeller} needs. */
export interface LoadTellerOptions {
    readonly selfId: string;
    readonly views: Pick<
        TargetViews,
        "loads" | "health" | "caches" | "demand" | "closed" | "slowdowns" | "prefillRates" | "eventIntervals"
    >;
    readonly sizeFairness: SizeFairness;
    readonly link: Pick<CoordinatorLink, "listTold" | "current" | "isSilent">;
    /** Number of the last placement that was taken from a coordinator. */
    readonly lastTaken: (peerId: string) => number;
    readonly send: (to: PeerAddress, datagram: Buffer) => void;
    readonly clock: Clock;
}

/** Tells the coordinators what this process has under way and what it has observed. */
export interface LoadTeller {
    run(signal: AbortSignal): Promise<void>;
}

/** Pause between two messages to the coordinator while something changes, and to the one that takes over from it. */
const tellMilliseconds = 100;
const tellNextMilliseconds = 500;
/** Pause between two messages while nothing changes, and to one that does not answer. */
const idleMilliseconds = 1_000;
/** Longest list of news told at once; of more, the last ones say most. */
const mostNews = 20;

type News = Pick<LoadMessage, "kept" | "paces" | "prefills" | "pauses" | "ended">;

const noNews: News = { kept: [], paces: [], prefills: [], pauses: [], ended: [] };

/** Creates the teller of one process. */
export function createLoadTeller(options: LoadTellerOptions): LoadTeller {
    const { selfId, views, sizeFairness, link, clock } = options;
    const { loads, health, caches, demand, closed, slowdowns, prefillRates, eventIntervals } = views;
    const changed = createSignal();
    const untold = new Map<string, News>();
    const toldAt = new Map<string, number>();
    let kept: LoadMessage["kept"][number][] = [];
    let hasChanged = false;
    loads.onChanged(() => {
        hasChanged = true;
        changed.raise();
    });
    caches.onRecorded(placement => kept.push(placement));

    const takeNews = (): News => {
        const news: News = {
            kept,
            paces: slowdowns.drainUnsent(),
            prefills: prefillRates.drainUnsent(),
            pauses: eventIntervals.drainUnsent(),
            ended: sizeFairness.drainUnsent(),
        };
        kept = [];
        return news;
    };

    const pauseFor = (peer: RegisteredPeer) => {
        if (link.isSilent(peer)) {
            return idleMilliseconds;
        }
        return peer.peerId === link.current()?.peerId ? tellMilliseconds : tellNextMilliseconds;
    };

    const isDue = (peer: RegisteredPeer) =>
        clock.monotonicNow() - (toldAt.get(peer.peerId) ?? -Infinity) >= pauseFor(peer) - 1;

    const tell = (peer: RegisteredPeer) => {
        const news = untold.get(peer.peerId) ?? noNews;
        untold.delete(peer.peerId);
        toldAt.set(peer.peerId, clock.monotonicNow());
        options.send(
            peer,
            encodeLoadMessage({
                from: selfId,
                pause: idleMilliseconds,
                isGroup: false,
                placed: options.lastTaken(peer.peerId),
                work: loads.listOwn(),
                demand: demand.listOwn().map(([service, rate]) => [service, Math.round(rate)] as const),
                closed: closed.listOwn(),
                failing: health.listOwnFailing(),
                ...news,
            }),
        );
    };

    const tellAll = () => {
        hasChanged = false;
        const news = takeNews();
        const told = link.listTold();
        told.forEach(peer => untold.set(peer.peerId, joinNews(untold.get(peer.peerId) ?? noNews, news)));
        told.filter(isDue).forEach(tell);
    };

    return {
        run: async signal => {
            while (!signal.aborted) {
                tellAll();
                const nextAt = clock.monotonicNow() + tellMilliseconds;
                await clock.sleepUntil(nextAt, signal);
                const isPending = [...untold.values()].some(news => countNews(news) > 0);
                const idleUntil = nextAt + (isPending ? tellNextMilliseconds : idleMilliseconds) - tellMilliseconds;
                if (!hasChanged) {
                    await changed.wait(clock, idleUntil, signal);
                }
            }
        },
    };
}

function joinNews(left: News, right: News): News {
    return {
        kept: [...left.kept, ...right.kept].slice(-mostNews),
        paces: [...left.paces, ...right.paces].slice(-mostNews),
        prefills: [...left.prefills, ...right.prefills].slice(-mostNews),
        pauses: [...left.pauses, ...right.pauses].slice(-mostNews),
        ended: [...left.ended, ...right.ended].slice(-mostNews),
    };
}

function countNews({ kept, paces, prefills, pauses, ended }: News): number {
    return kept.length + paces.length + prefills.length + pauses.length + ended.length;
}
