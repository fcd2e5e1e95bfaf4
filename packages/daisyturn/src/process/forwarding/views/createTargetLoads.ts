import type { Clock } from "daisyturn-utils";
import type { ReportedLoad } from "../../../ports/forwardedCall.js";
import { computeExpiry } from "./computeExpiry.js";
import { createPeerLoads, type PeerLoad } from "./createPeerLoads.js";
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
    recordReport(targetId: string, load: ReportedLoad): void;
    /**
     * Takes in all that a peer has under way.
     * @param pause milliseconds until the peer tells it anew
     */
    recordPeer(peerId: string, work: readonly WorkUnderWay[], pause: number): void;
    forgetPeer(peerId: string): void;
    /** The same of another group of processes, told by its coordinator. */
    recordGroup(coordinatorId: string, work: readonly WorkUnderWay[], pause: number): void;
    /** What this process has under way at engines, for its coordinators: plain calls end before it would be known. */
    listOwn(): readonly WorkUnderWay[];
    /** What this process and those that have told theirs have under way at engines, other groups not counted. */
    listGroup(): readonly WorkUnderWay[];
    /** Called each time that what `listOwn` tells has changed. */
    onChanged(listener: () => void): void;
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
    /** Those that hold memory or are expensive. */
    engineCalls: number;
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
    const groups = createPeerLoads(clock);
    const listeners: (() => void)[] = [];
    const noteChange = () => listeners.forEach(listener => listener());

    const find = (targetId: string): TargetLoad => {
        let load = own.get(targetId);
        if (!load) {
            load = {
                calls: 0,
                engineCalls: 0,
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
        const isTold = tokens > 0 || work > 0;
        load.calls += 1;
        load.engineCalls += isTold ? 1 : 0;
        load.tokens += tokens;
        load[kind] += work;
        if (isTold) {
            noteChange();
        }
        let isHeavy = true;
        let isRunning = true;
        const finishHeavyPart = () => {
            if (isHeavy) {
                isHeavy = false;
                load[kind] = Math.max(0, load[kind] - work);
                if (isTold) {
                    noteChange();
                }
            }
        };
        return {
            finishHeavyPart,
            end: () => {
                finishHeavyPart();
                if (isRunning) {
                    isRunning = false;
                    load.calls -= 1;
                    load.engineCalls -= isTold ? 1 : 0;
                    load.tokens -= tokens;
                    if (isTold) {
                        noteChange();
                    }
                }
            },
        };
    };

    const listOwn = () =>
        [...own].filter(([, load]) => load.engineCalls > 0).map(([targetId, load]): WorkUnderWay => ({
            targetId,
            calls: load.engineCalls,
            work: load.work,
            deferredWork: load.deferredWork,
            tokens: load.tokens,
        }));

    /** What others have under way there; undefined while nobody is heard. */
    const findTold = (targetId: string): PeerLoad | undefined => {
        const told = [peers.sum(targetId), groups.sum(targetId)].filter(load => load !== undefined);
        return told.length > 0 ? told.reduce(addLoads) : undefined;
    };

    const listGroup = () => {
        const sums = new Map<string, PeerLoad>();
        for (const { targetId, ...load } of [...listOwn(), ...peers.list()]) {
            const known = sums.get(targetId);
            sums.set(targetId, known ? addLoads(known, load) : load);
        }
        return [...sums].map(([targetId, sum]) => ({ targetId, ...sum }));
    };

    return {
        begin,
        listOwn,
        listGroup,
        onChanged: listener => void listeners.push(listener),
        recordReport: (targetId, { running, waiting }) => {
            const load = find(targetId);
            load.reportedOthers = Math.max(0, running + waiting - load.calls);
            load.reportedAt = clock.monotonicNow();
        },
        recordPeer: (peerId, work, pause) => {
            const forgottenAt = computeExpiry(clock.monotonicNow(), pause, peerMemoryMilliseconds);
            peers.record(peerId, work, forgottenAt);
        },
        forgetPeer: peers.forget,
        recordGroup: (coordinatorId, work, pause) => {
            const forgottenAt = computeExpiry(clock.monotonicNow(), pause, peerMemoryMilliseconds);
            groups.record(coordinatorId, work, forgottenAt);
        },
        calls: targetId => {
            const load = own.get(targetId);
            const told = findTold(targetId)?.calls ?? 0;
            return (load?.calls ?? 0) + Math.max(told, reportedOthers(load));
        },
        tokens: targetId => (own.get(targetId)?.tokens ?? 0) + (findTold(targetId)?.tokens ?? 0),
        wait: (targetId, isDeferred) => {
            const load = own.get(targetId);
            const told = findTold(targetId);
            const behind = isDeferred ? (load?.deferredWork ?? 0) + (told?.deferredWork ?? 0) : 0;
            return behind + (load?.work ?? 0) + (told?.work ?? reportedOthers(load) * unknownWorkMilliseconds);
        },
        forget: targetId => own.delete(targetId),
    };
}

function addLoads(left: PeerLoad, right: PeerLoad): PeerLoad {
    return {
        calls: left.calls + right.calls,
        work: left.work + right.work,
        deferredWork: left.deferredWork + right.deferredWork,
        tokens: left.tokens + right.tokens,
    };
}
