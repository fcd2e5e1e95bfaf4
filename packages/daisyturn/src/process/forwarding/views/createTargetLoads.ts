import type { Clock } from "daisyturn-utils";
import type { ReportedLoad } from "../../../ports/forwardedCall.js";
import { createPeerLoads } from "./createPeerLoads.js";
import { findForgetTime } from "./findForgetTime.js";
import type { WorkUnderWay } from "./workUnderWay.js";

/** Work that this process has placed at a target. */
export interface PlacedWork {
    /** The expensive part (of a prompt: its prefill) is done; the call itself still runs. */
    finishHeavyPart(): void;
    end(): void;
}

/** What a call costs its target. */
export interface CallCost {
    /** Estimated milliseconds of the expensive part. */
    readonly work: number;
    /** Whether the call lets others go first. */
    readonly isDeferred: boolean;
    /** Tokens of KV cache that it holds until its end. */
    readonly tokens: number;
}

/** How busy targets are: from this process's own calls, from what its peers tell, and from the targets' answers. */
export interface TargetLoads {
    begin(targetId: string, cost: CallCost): PlacedWork;
    noteReport(targetId: string, load: ReportedLoad): void;
    /**
     * Takes in all that a peer has under way.
     * @param pause milliseconds until the peer tells it anew
     */
    notePeer(peerId: string, work: readonly WorkUnderWay[], pause: number): void;
    /** What this process has under way, for its peers. */
    listOwn(): readonly WorkUnderWay[];
    /** Calls that run or wait at the target, of all processes. */
    calls(targetId: string): number;
    /** Tokens of KV cache held by calls under way, of all processes. */
    tokens(targetId: string): number;
    /** Milliseconds until the target turns to a new call, as far as its expensive work goes. */
    wait(targetId: string, isDeferred: boolean): number;
    forget(targetId: string): void;
}

interface TargetLoad {
    calls: number;
    work: number;
    deferredWork: number;
    tokens: number;
    /** Calls of other processes when the target last reported, and the monotonic time of the report. */
    reportedOthers: number;
    reportedAt: number;
}

/** After this many milliseconds, a report counts 1/e: calls last a few tens to a few hundred milliseconds. */
const reportMemoryMilliseconds = 800;
/** What a peer told counts for so long at least. */
const peerMemoryMilliseconds = 1_500;
/** Expensive work of a call of which only the target's report is known: the middle of short and long prompts. */
const unknownWorkMilliseconds = 8;

/** Creates the view of one process. */
export function createTargetLoads(clock: Clock): TargetLoads {
    const own = new Map<string, TargetLoad>();
    const peers = createPeerLoads(clock);

    const find = (targetId: string): TargetLoad => {
        let load = own.get(targetId);
        if (!load) {
            load = {
                calls: 0,
                work: 0,
                deferredWork: 0,
                tokens: 0,
                reportedOthers: 0,
                reportedAt: clock.monotonicNow(),
            };
            own.set(targetId, load);
        }
        return load;
    };

    const reportedOthers = (load: TargetLoad | undefined) =>
        load ? load.reportedOthers * Math.exp((load.reportedAt - clock.monotonicNow()) / reportMemoryMilliseconds) : 0;

    const begin = (targetId: string, { work, isDeferred, tokens }: CallCost): PlacedWork => {
        const load = find(targetId);
        const kind = isDeferred ? "deferredWork" : "work";
        load.calls += 1;
        load.tokens += tokens;
        load[kind] += work;
        let isHeavy = true;
        let isRunning = true;
        const finishHeavyPart = () => {
            if (isHeavy) {
                isHeavy = false;
                load[kind] = Math.max(0, load[kind] - work);
            }
        };
        return {
            finishHeavyPart,
            end: () => {
                finishHeavyPart();
                if (isRunning) {
                    isRunning = false;
                    load.calls -= 1;
                    load.tokens -= tokens;
                }
            },
        };
    };

    const listOwn = () =>
        [...own].filter(([, load]) => load.calls > 0).map(([targetId, { calls, work, deferredWork, tokens }]) => ({
            targetId,
            calls,
            work,
            deferredWork,
            tokens,
        }));

    return {
        begin,
        listOwn,
        noteReport: (targetId, { running, waiting }) => {
            const load = find(targetId);
            load.reportedOthers = Math.max(0, running + waiting - load.calls);
            load.reportedAt = clock.monotonicNow();
        },
        notePeer: (peerId, work, pause) => {
            const forgottenAt = findForgetTime(clock.monotonicNow(), pause, peerMemoryMilliseconds);
            peers.note(peerId, work, forgottenAt);
        },
        calls: targetId => {
            const load = own.get(targetId);
            const told = peers.sum(targetId)?.calls ?? 0;
            return (load?.calls ?? 0) + Math.max(told, reportedOthers(load));
        },
        tokens: targetId => (own.get(targetId)?.tokens ?? 0) + (peers.sum(targetId)?.tokens ?? 0),
        wait: (targetId, isDeferred) => {
            const load = own.get(targetId);
            const told = peers.sum(targetId);
            const behind = isDeferred ? (load?.deferredWork ?? 0) + (told?.deferredWork ?? 0) : 0;
            return behind + (load?.work ?? 0) + (told?.work ?? reportedOthers(load) * unknownWorkMilliseconds);
        },
        forget: targetId => own.delete(targetId),
    };
}
