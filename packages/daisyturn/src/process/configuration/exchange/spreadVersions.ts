import type { Clock, Failure, Random } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { Membership } from "../../peers/index.js";
import type { ConfigurationTiming } from "../configurationTiming.js";
import type { InForce } from "../createInForce.js";
import type { ConfigurationPeers } from "./createConfigurationPeers.js";

/** What the anti-entropy needs. */
export interface SpreadOptions {
    readonly peers: ConfigurationPeers;
    readonly membership: Membership;
    readonly inForce: InForce;
    readonly clock: Clock;
    readonly random: Random;
    readonly timing: ConfigurationTiming;
    readonly catchUpFromStore: (deadline: number) => Promise<Result<void, Failure>>;
}

/**
 * Makes up for pushes that were lost or never sent, until `signal` is aborted. Each process asks a random peer now and
 * then, and looks at the store's head so seldom that a cell of any size together looks about once in an interval.
 */
export async function spreadVersions(options: SpreadOptions, signal: AbortSignal): Promise<void> {
    await Promise.all([pullFromPeers(options, signal), watchHead(options, signal)]);
}

async function pullFromPeers(options: SpreadOptions, signal: AbortSignal): Promise<void> {
    const { peers, membership, random, timing } = options;
    while (!signal.aborted) {
        await sleepAbout(options, timing.pullIntervalMilliseconds, signal);
        const live = membership.livePeers();
        const peer = live.length > 0 ? live[random.integerBelow(live.length)] : undefined;
        if (peer && !signal.aborted) {
            await peers.pullFrom(peer.processId);
        }
    }
}

async function watchHead(options: SpreadOptions, signal: AbortSignal): Promise<void> {
    const { peers, membership, inForce, clock, timing } = options;
    while (!signal.aborted) {
        const cellSize = membership.livePeers().length + 1;
        await sleepAbout(options, timing.headIntervalMilliseconds * cellSize, signal);
        if (signal.aborted) {
            return;
        }
        const before = inForce.current().generation;
        await options.catchUpFromStore(clock.monotonicNow() + timing.storeCallMilliseconds);
        announceNews(peers, inForce, before);
    }
}

/** Whoever found news in the store spares the others the wait for their own look. */
function announceNews(peers: ConfigurationPeers, inForce: InForce, before: number): void {
    const newest = inForce.changesAfter(before)?.at(-1);
    if (newest) {
        peers.announce(newest);
    }
}

/** Half to one and a half of the interval, so that processes that started together drift apart. */
async function sleepAbout({ clock, random }: SpreadOptions, milliseconds: number, signal: AbortSignal): Promise<void> {
    await clock.sleepUntil(clock.monotonicNow() + milliseconds * (0.5 + random.fraction()), signal);
}
