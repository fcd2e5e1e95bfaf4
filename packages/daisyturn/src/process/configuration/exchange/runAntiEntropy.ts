import type { Clock, Failure, Random } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { Membership } from "../../peers/index.js";
import type { ConfigurationTiming } from "../configurationTiming.js";
import type { ActiveVersion } from "../createActiveVersion.js";
import type { ConfigurationPeers } from "./createConfigurationPeers.js";

/** What the anti-entropy needs. */
export interface AntiEntropyOptions {
    readonly peers: ConfigurationPeers;
    readonly membership: Membership;
    readonly activeVersion: ActiveVersion;
    readonly clock: Clock;
    readonly random: Random;
    readonly timing: ConfigurationTiming;
    readonly catchUpFromStore: (deadline: number) => Promise<Result<void, Failure>>;
}

/**
 * Makes up for pushes that were lost or never sent, until `signal` is aborted. Each process asks a random peer now and
 * then, and looks at the store's head so seldom that a cell of any size together looks about once in an interval.
 */
export async function runAntiEntropy(options: AntiEntropyOptions, signal: AbortSignal): Promise<void> {
    await Promise.all([pullFromPeers(options, signal), watchHead(options, signal)]);
}

async function pullFromPeers(options: AntiEntropyOptions, signal: AbortSignal): Promise<void> {
    const { peers, membership, random, timing } = options;
    while (!signal.aborted) {
        await sleepWithJitter(options, timing.pullIntervalMilliseconds, signal);
        const live = membership.livePeers();
        const peer = live.length > 0 ? live[random.integerBelow(live.length)] : undefined;
        if (peer && !signal.aborted) {
            await peers.pullFrom(peer.processId);
        }
    }
}

async function watchHead(options: AntiEntropyOptions, signal: AbortSignal): Promise<void> {
    const { peers, membership, activeVersion, clock, timing } = options;
    while (!signal.aborted) {
        const cellSize = membership.livePeers().length + 1;
        await sleepWithJitter(options, timing.headIntervalMilliseconds * cellSize, signal);
        if (signal.aborted) {
            return;
        }
        const generationBefore = activeVersion.current().generation;
        await options.catchUpFromStore(clock.monotonicNow() + timing.storeCallMilliseconds);
        announceNewestChange(peers, activeVersion, generationBefore);
    }
}

/** Whoever found news in the store spares the others the wait for their own look. */
function announceNewestChange(peers: ConfigurationPeers, activeVersion: ActiveVersion, generationBefore: number): void {
    const newest = activeVersion.changesAfter(generationBefore)?.at(-1);
    if (newest) {
        peers.announce(newest);
    }
}

/** Half to one and a half of the interval, so that processes that started together drift apart. */
async function sleepWithJitter(
    { clock, random }: AntiEntropyOptions,
    milliseconds: number,
    signal: AbortSignal,
): Promise<void> {
    await clock.sleepUntil(clock.monotonicNow() + milliseconds * (0.5 + random.fraction()), signal);
}
