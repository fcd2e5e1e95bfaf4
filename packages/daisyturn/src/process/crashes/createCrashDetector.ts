import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { ProbeResult } from "../../connection/target/probeAddress.js";
import type { ListedTarget, TargetRemoval } from "../../ports/listedTarget.js";
import { requestDepth } from "./crashRecord.js";
import type { RecordedCrash } from "./createCrashEvidence.js";
import type { GuardedCall } from "./guardedCall.js";

/** How a run ended for the process that sent the call. */
export enum RunEnd {
    /** The target ran the call and answered, and did not end. */
    Answered = "answered",
    /** The target did not run the call, or its answer does not show that the call runs without harm. */
    Settled = "settled",
    /** The connection broke, or the target fell silent. */
    Broken = "broken",
    /** The caller left or the deadline passed; the target may still work on the call for a moment. */
    Abandoned = "abandoned",
}

/** A target, and the address (host:port) at which it takes connections. */
export type RunTarget = Pick<ListedTarget, "targetId" | "address">;

/** Detects targets that have ended without notice, and which calls of this process ran there. */
export interface CrashDetector {
    /** Records that a call is sent to a target. The returned function records how the run ended. */
    beginRun(target: RunTarget, call: GuardedCall): (end: RunEnd) => void;
    /** Records that bytes of an answer were received from a target, which had not ended by then. */
    recordBytesReceived(targetId: string): void;
    /** Records that a target is no longer listed. */
    recordRemoval(removal: TargetRemoval): void;
    /** Registers a listener that is called once for each target that ended while calls of this process ran there. */
    onCrash(listener: (crash: DetectedCrash) => void): void;
}

/** The end of a target, and what ran there. */
export type DetectedCrash = Omit<RecordedCrash, "suspects"> & { readonly suspects: readonly SuspectAboard[]; };

/** What {@link createCrashDetector} needs. */
export interface CrashDetectorOptions {
    readonly probe: (address: string) => Promise<ProbeResult>;
    /** Whether a target is meant to run, so that its end is not planned. */
    readonly isExpected: (targetId: string) => boolean;
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
/** A target that works sends something within this time to the calls that wait for it. */
const silenceMilliseconds = 500;
/** A target closes its connections and its port at almost the same time, so a port that accepts is probed once more. */
const probeIntervalMilliseconds = 200;
const maxProbes = 2;
/** Limits the length of a log line. */
const maxLoggedCalls = 12;
const maxLoggedParts = 12;

interface Run {
    readonly call: GuardedCall;
    readonly chain: number;
    /** Monotonic time. */
    readonly startedAt: number;
    /** Monotonic time; undefined while the call runs. */
    endedAt?: number;
}

interface RunsAtTarget {
    readonly running: Set<Run>;
    /** Runs that were not answered, oldest first. */
    unanswered: Run[];
    /** Monotonic time at which the last answer was complete or the last bytes were received. */
    lastReceivedAt?: number;
    isProbing: boolean;
    /** Set once the crash is reported; runs that begin later belong to the next start of a target of this name. */
    hasCrashed: boolean;
}

/**
 * Creates the detector of one process. A broken connection alone does not show that a target has ended: links are cut,
 * and targets break off single answers. It has ended if its port refuses connections, or if its entry is removed while
 * it was not leaving and nothing accepts connections at its address.
 */
export function createCrashDetector({ probe, isExpected, clock, eventLog }: CrashDetectorOptions): CrashDetector {
    const targets = new Map<string, RunsAtTarget>();
    const listeners: ((crash: DetectedCrash) => void)[] = [];

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

    /** @param earliest monotonic time before which the target had not ended */
    const reportCrash = (targetId: string, runs: RunsAtTarget, earliest: number, endedAt: number, reason: string) => {
        if (runs.hasCrashed) {
            return;
        }
        runs.hasCrashed = true;
        targets.delete(targetId);
        const aboard = [
            ...runs.running,
            ...runs.unanswered.filter(run => (run.endedAt ?? Infinity) >= earliest - abandonedMilliseconds),
        ];
        if (aboard.length === 0) {
            return;
        }
        const suspects = listSuspects(aboard);
        runs.unanswered = [];
        eventLog.record(EventKind.TargetEnded, {
            target: targetId,
            reason,
            calls: aboard.length,
            fingerprints: suspects.filter(({ depth }) => depth === requestDepth).slice(0, maxLoggedCalls)
                .map(({ fingerprint }) => fingerprint).join(),
            parts: describeParts(aboard.map(({ call }) => call)),
        });
        listeners.forEach(listener => listener({ targetId, endedAt, uncertainty: endedAt - earliest, suspects }));
    };

    /** Probes a target whose connection broke, unless it is leaving and therefore ends as planned. */
    const suspect = async (target: RunTarget, runs: RunsAtTarget) => {
        const { targetId, address } = target;
        if (runs.isProbing || runs.hasCrashed || !isExpected(targetId)) {
            return;
        }
        runs.isProbing = true;
        const brokenAt = clock.monotonicNow();
        for (let count = 1; count <= maxProbes; count++) {
            const result = await probe(address);
            if (result === ProbeResult.Refused) {
                reportCrash(targetId, runs, brokenAt, brokenAt, "its port refuses connections");
                break;
            }
            if (count < maxProbes) {
                await clock.sleepUntil(clock.monotonicNow() + probeIntervalMilliseconds);
            }
        }
        runs.isProbing = false;
    };

    /** A target that falls silent ended after its last bytes and, if calls waited for others, soon after it had them. */
    const reportRemoved = (targetId: string, runs: RunsAtTarget, reason: string) => {
        const starts = [...runs.running, ...runs.unanswered].map(run => run.startedAt);
        const now = clock.monotonicNow();
        const earliest = runs.lastReceivedAt ?? Math.min(now, ...starts);
        const waitingSince = Math.max(earliest, Math.min(now, ...starts));
        reportCrash(targetId, runs, earliest, Math.min(now, waitingSince + silenceMilliseconds), reason);
    };

    const checkRemoved = async ({ targetId, address }: RunTarget, runs: RunsAtTarget) => {
        const found = await probe(address);
        if (found === ProbeResult.Refused || found === ProbeResult.Unknown) {
            reportRemoved(targetId, runs, "its entry has expired and it does not answer");
        }
    };

    return {
        beginRun: (target, call) => {
            const runs = find(target.targetId);
            const run: Run = { call, chain: call.brokenRuns + 1, startedAt: clock.monotonicNow() };
            runs.running.add(run);
            return end => {
                runs.running.delete(run);
                if (end === RunEnd.Answered) {
                    runs.lastReceivedAt = clock.monotonicNow();
                }
                if (end === RunEnd.Settled || end === RunEnd.Answered) {
                    return;
                }
                run.endedAt = clock.monotonicNow();
                dropOld(runs);
                runs.unanswered.push(run);
                if (end === RunEnd.Broken) {
                    call.brokenRuns += 1;
                    void suspect(target, runs);
                }
            };
        },
        recordBytesReceived: targetId => {
            const runs = targets.get(targetId);
            if (runs) {
                runs.lastReceivedAt = clock.monotonicNow();
            }
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
                reportRemoved(target.targetId, runs, "it has started anew");
            }
            else {
                void checkRemoved(target, runs);
            }
        },
        onCrash: listener => void listeners.push(listener),
    };
}

/** Bounds the records of one call; the deepest parts, which the fewest other requests have, are kept. */
const maxParts = 32;

/** What ran at a target. It is known only later whether its parts were answered before. */
type SuspectAboard = Omit<RecordedCrash["suspects"][number], "wasAnswered">;

/** Lists the requests and their parts, each once. */
function listSuspects(runs: readonly Run[]): SuspectAboard[] {
    const suspects = new Map<string, SuspectAboard>();
    const add = (fingerprint: string, depth: number, chain: number) => {
        const known = suspects.get(fingerprint);
        suspects.set(fingerprint, {
            fingerprint,
            depth: Math.max(depth, known?.depth ?? 0),
            chain: Math.max(chain, known?.chain ?? 0),
        });
    };
    for (const { call, chain } of runs) {
        add(call.fingerprint(), requestDepth, chain);
        [...call.partFingerprints().entries()].slice(-maxParts)
            .forEach(([index, fingerprint]) => add(fingerprint, Math.min(index, requestDepth - 1), chain));
    }
    return [...suspects.values()];
}

/** Lists the parts that most calls share, with the number of calls that have them; undefined if none has any. */
function describeParts(calls: readonly GuardedCall[]): string | undefined {
    const counts = new Map<string, number>();
    for (const fingerprint of calls.flatMap(call => call.partFingerprints())) {
        counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1);
    }
    const mostShared = [...counts].sort(([, left], [, right]) => right - left).slice(0, maxLoggedParts);
    return mostShared.length > 0 ? mostShared.map(([part, count]) => `${part}=${count}`).join() : undefined;
}
