import type { Clock } from "daisyturn-utils";
import type { ReportedLoad } from "../../../ports/forwardedCall.js";
import { computeExpiry } from "./computeExpiry.js";
import { createPeerLoads, type PeerLoad } from "./createPeerLoads.js";
import type { WorkUnderWay } from "./workUnderWay.js";

/** A call that this process has placed at a target. */
export interface PlacedWork {
    /** Records that the expensive part, for a prompt its prefill, is done while the call still runs. */
    finishExpensiveWork(): void;
    end(): void;
}

/** Load of a call on its target. */
export interface CallCost {
    /** Estimated milliseconds of the expensive part. */
    readonly work: number;
    /** Whether the call is deferred, so that others are served before it. */
    readonly isDeferred: boolean;
    /** Tokens of KV cache that it occupies until its end. */
    readonly tokens: number;
}

/** Estimates how busy targets are, from the process's own calls, the reports of its peers and the targets' answers. */
export interface TargetLoads {
    begin(targetId: string, cost: CallCost): PlacedWork;
    recordReport(targetId: string, load: ReportedLoad): void;
    /**
     * Records all work that a peer has under way.
     * @param reportInterval milliseconds until the peer's next report
     */
    recordPeer(peerId: string, work: readonly WorkUnderWay[], reportInterval: number): void;
    forgetPeer(peerId: string): void;
    /** Records the work of another group of processes, reported by its coordinator. */
    recordGroup(coordinatorId: string, work: readonly WorkUnderWay[], reportInterval: number): void;
    /**
     * Work of this process at engines, for its coordinators. Plain calls are left out: they end before a report
     * arrives.
     */
    listOwn(): readonly WorkUnderWay[];
    /** Work at engines, of this process and of the peers of its group that have reported theirs. */
    listGroup(): readonly WorkUnderWay[];
    /** Adds a listener that is called after each change of the result of `listOwn`. */
    onChanged(listener: () => void): void;
    /** Calls that run or wait at the target, of all processes. */
    calls(targetId: string): number;
    /** Tokens of KV cache that calls under way occupy, of all processes. */
    tokens(targetId: string): number;
    /** Milliseconds of expensive work at the target before it would begin with a new call. */
    wait(targetId: string, isDeferred: boolean): number;
    forget(targetId: string): void;
}

interface TargetLoad {
    calls: number;
    /** Calls that occupy KV cache or are expensive. */
    engineCalls: number;
    work: number;
    deferredWork: number;
    tokens: number;
    /** Calls of other processes when the target last reported, and the monotonic time of the report. */
    reportedOthers: number;
    reportedAt: number;
}

/**
 * The weight of a target's report decays to 1/e within this time: calls last a few tens to a few hundred milliseconds.
 */
const reportDecayMilliseconds = 800;
/** A peer's report is valid for at least this long. */
const minReportValidityMilliseconds = 1_500;
/** Expensive work of a call that is known only from the target's report: a value between short and long prompts. */
const unknownWorkMilliseconds = 8;

/** Creates the estimates of one process. */
export function createTargetLoads(clock: Clock): TargetLoads {
    const own = new Map<string, TargetLoad>();
    const peers = createPeerLoads(clock);
    const groups = createPeerLoads(clock);
    /** Results of `findOthers` since the last change, as a placement asks several times for each engine. */
    const others = new Map<string, PeerLoad>();
    let othersRevision = 0;
    const listeners: (() => void)[] = [];
    const notifyChanged = () => listeners.forEach(listener => listener());

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
        load && load.reportedOthers !== 0
            ? load.reportedOthers * Math.exp((load.reportedAt - clock.monotonicNow()) / reportDecayMilliseconds)
            : 0;

    const begin = (targetId: string, { work, isDeferred, tokens }: CallCost): PlacedWork => {
        const load = find(targetId);
        const workField = isDeferred ? "deferredWork" : "work";
        const isReported = tokens > 0 || work > 0;
        load.calls += 1;
        load.engineCalls += isReported ? 1 : 0;
        load.tokens += tokens;
        load[workField] += work;
        if (isReported) {
            notifyChanged();
        }
        let isWorkPending = true;
        let isRunning = true;
        const finishExpensiveWork = () => {
            if (isWorkPending) {
                isWorkPending = false;
                load[workField] = Math.max(0, load[workField] - work);
                if (isReported) {
                    notifyChanged();
                }
            }
        };
        return {
            finishExpensiveWork,
            end: () => {
                finishExpensiveWork();
                if (isRunning) {
                    isRunning = false;
                    load.calls -= 1;
                    load.engineCalls -= isReported ? 1 : 0;
                    load.tokens -= tokens;
                    if (isReported) {
                        notifyChanged();
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

    /** Work of other processes at the target; undefined while there is no report of any process. */
    const findOthers = (targetId: string): PeerLoad | undefined => {
        const now = clock.monotonicNow();
        const revision = peers.revision(now) + groups.revision(now);
        if (revision !== othersRevision) {
            othersRevision = revision;
            others.clear();
        }
        const known = others.get(targetId);
        if (known) {
            return known;
        }
        const ofGroup = peers.sum(targetId, now);
        const ofOthers = groups.sum(targetId, now);
        const sum = ofGroup && ofOthers ? addLoads(ofGroup, ofOthers) : ofGroup ?? ofOthers;
        if (sum) {
            others.set(targetId, sum);
        }
        return sum;
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
        recordPeer: (peerId, work, reportInterval) => {
            const expiresAt = computeExpiry(clock.monotonicNow(), reportInterval, minReportValidityMilliseconds);
            peers.record(peerId, work, expiresAt);
        },
        forgetPeer: peers.forget,
        recordGroup: (coordinatorId, work, reportInterval) => {
            const expiresAt = computeExpiry(clock.monotonicNow(), reportInterval, minReportValidityMilliseconds);
            groups.record(coordinatorId, work, expiresAt);
        },
        calls: targetId => {
            const load = own.get(targetId);
            const others = findOthers(targetId)?.calls ?? 0;
            return (load?.calls ?? 0) + Math.max(others, reportedOthers(load));
        },
        tokens: targetId => (own.get(targetId)?.tokens ?? 0) + (findOthers(targetId)?.tokens ?? 0),
        wait: (targetId, isDeferred) => {
            const load = own.get(targetId);
            const others = findOthers(targetId);
            const deferredWait = isDeferred ? (load?.deferredWork ?? 0) + (others?.deferredWork ?? 0) : 0;
            return deferredWait + (load?.work ?? 0) + (others?.work ?? reportedOthers(load) * unknownWorkMilliseconds);
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
