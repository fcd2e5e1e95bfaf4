import type { Clock, Failure, Random } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { Membership } from "../../peers/index.js";
import type { ConfigurationTiming } from "../configurationTiming.js";
import type { ActiveVersion } from "../createActiveVersion.js";
import type { ConfigurationPeers } from "./createConfigurationPeers.js";

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
 * Recovers pushes that were lost or never sent, until `signal` is aborted. Each process periodically pulls from a
 * random peer. It also reads the head of the store, at an interval proportional to the cell size: the processes of a
 * cell together read it about once per `headIntervalMilliseconds`.
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

/** Announces a change that was found in the store, so that the other processes need not wait for their own read. */
function announceNewestChange(peers: ConfigurationPeers, activeVersion: ActiveVersion, generationBefore: number): void {
    const newest = activeVersion.changesAfter(generationBefore)?.at(-1);
    if (newest) {
        peers.announce(newest);
    }
}

/** Sleeps for 0.5 to 1.5 times the interval, so that processes started together do not stay synchronized. */
async function sleepWithJitter(
    { clock, random }: AntiEntropyOptions,
    milliseconds: number,
    signal: AbortSignal,
): Promise<void> {
    await clock.sleepUntil(clock.monotonicNow() + milliseconds * (0.5 + random.fraction()), signal);
}
