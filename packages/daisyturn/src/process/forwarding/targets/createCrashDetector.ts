import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { ProbeResult } from "../../../connection/target/probeAddress.js";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import type { TargetRemoval } from "./createTargetList.js";

/** How a run ended for the process that sent the call. */
export enum RunEnd {
    /** The target answered, or the call never reached it. */
    Settled = "settled",
    /** The connection broke, or the target fell silent. */
    Broken = "broken",
    /** The caller left or the deadline passed; the target may still work on the call for a moment. */
    Abandoned = "abandoned",
}

/** A target that ended without notice. */
export interface TargetCrash {
    readonly targetId: string;
    /** Monotonic time at which the first of its connections broke. */
    readonly endedAt: number;
    /** Fingerprints of the calls of this process that ran there. */
    readonly fingerprints: readonly string[];
}

/** Detects targets that have ended without notice, and which calls of this process ran there. */
export interface CrashDetector {
    /** Records that a call is sent to a target. The returned function records how the run ended. */
    beginRun(target: ListedTarget, fingerprint: () => string): (end: RunEnd) => void;
    /** Records that a target is no longer listed. */
    recordRemoval(removal: TargetRemoval): void;
    onCrash(listener: (crash: TargetCrash) => void): void;
}

/** What {@link createCrashDetector} needs. */
export interface CrashDetectorOptions {
    readonly probe: (address: string) => Promise<ProbeResult>;
    /** Returns the present entry of a target. */
    readonly findTarget: (targetId: string) => ListedTarget | undefined;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/**
 * Runs that ended this long before the first connection broke count as running at the crash: their callers left, and
 * the target learns of that a little later.
 */
const abandonedMilliseconds = 500;
/** An entry expires within this time after its target has ended. */
const entryExpiryMilliseconds = 5_000;
/** A target closes its connections and its port at almost the same time, so a port that accepts is probed once more. */
const probeIntervalMilliseconds = 200;
const maxProbes = 2;
/** Limits the length of a log line. */
const maxLoggedCalls = 12;

interface Run {
    readonly fingerprint: () => string;
    /** Monotonic time; undefined while the call runs. */
    endedAt?: number;
}

interface RunsAtTarget {
    readonly running: Set<Run>;
    /** Runs that were not answered, oldest first. */
    unanswered: Run[];
    /** Monotonic time at which the first connection of the present suspicion broke. */
    brokenAt?: number;
    isProbing: boolean;
    hasCrashed: boolean;
}

/**
 * Creates the detector of one process. A broken connection alone does not show that a target has ended: links are cut,
 * and targets break off single answers. It has ended if its port refuses connections, or if its entry is removed while
 * it was not leaving and nothing accepts connections at its address.
 */
export function createCrashDetector({ probe, findTarget, clock, eventLog }: CrashDetectorOptions): CrashDetector {
    const targets = new Map<string, RunsAtTarget>();
    const listeners: ((crash: TargetCrash) => void)[] = [];

    const find = (targetId: string): RunsAtTarget => {
        let runs = targets.get(targetId);
        if (!runs) {
            runs = { running: new Set(), unanswered: [], isProbing: false, hasCrashed: false };
            targets.set(targetId, runs);
        }
        return runs;
    };

    const dropOld = (runs: RunsAtTarget) => {
        const oldest = clock.monotonicNow() - entryExpiryMilliseconds;
        runs.unanswered = runs.unanswered.filter(run => (run.endedAt ?? Infinity) >= oldest);
    };

    const reportCrash = (targetId: string, runs: RunsAtTarget, reason: string) => {
        if (runs.hasCrashed) {
            return;
        }
        runs.hasCrashed = true;
        const endedAt = runs.brokenAt ?? clock.monotonicNow();
        const aboard = [
            ...runs.running,
            ...runs.unanswered.filter(run => (run.endedAt ?? Infinity) >= endedAt - abandonedMilliseconds),
        ];
        const fingerprints = [...new Set(aboard.map(run => run.fingerprint()))];
        runs.unanswered = [];
        eventLog.record(EventKind.TargetEnded, {
            target: targetId,
            reason,
            calls: aboard.length,
            fingerprints: fingerprints.slice(0, maxLoggedCalls).join(),
        });
        listeners.forEach(listener => listener({ targetId, endedAt, fingerprints }));
    };

    /** Probes a target whose connection broke, unless it is leaving and therefore ends as planned. */
    const suspect = async (target: ListedTarget, runs: RunsAtTarget) => {
        const { targetId, address } = target;
        if (runs.isProbing || runs.hasCrashed || findTarget(targetId)?.isLeaving !== false) {
            return;
        }
        runs.isProbing = true;
        runs.brokenAt = clock.monotonicNow();
        for (let count = 1; count <= maxProbes; count++) {
            const result = await probe(address);
            if (result === ProbeResult.Refused) {
                reportCrash(targetId, runs, "its port refuses connections");
                break;
            }
            if (count < maxProbes) {
                await clock.sleepUntil(clock.monotonicNow() + probeIntervalMilliseconds);
            }
        }
        runs.isProbing = false;
    };

    const checkRemoved = async (target: ListedTarget, runs: RunsAtTarget) => {
        if (await probe(target.address) !== ProbeResult.Accepted) {
            reportCrash(target.targetId, runs, "its entry has expired and it does not answer");
        }
    };

    return {
        beginRun: (target, fingerprint) => {
            const runs = find(target.targetId);
            const run: Run = { fingerprint };
            runs.running.add(run);
            return end => {
                runs.running.delete(run);
                if (end === RunEnd.Settled) {
                    return;
                }
                run.endedAt = clock.monotonicNow();
                dropOld(runs);
                runs.unanswered.push(run);
                if (end === RunEnd.Broken) {
                    void suspect(target, runs);
                }
            };
        },
        recordRemoval: ({ target, isRestarted }) => {
            const runs = targets.get(target.targetId);
            targets.delete(target.targetId);
            if (!runs || runs.hasCrashed || target.isLeaving) {
                return;
            }
            dropOld(runs);
            if (runs.running.size + runs.unanswered.length === 0) {
                return;
            }
            if (isRestarted) {
                reportCrash(target.targetId, runs, "it has started anew");
            }
            else {
                void checkRemoved(target, runs);
            }
        },
        onCrash: listener => void listeners.push(listener),
    };
}
