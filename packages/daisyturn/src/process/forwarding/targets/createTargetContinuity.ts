import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { ProbeResult } from "../../../connection/target/probeAddress.js";
import type { TargetList } from "./createTargetList.js";

/** How a connection to a target failed. */
export enum ConnectionBreak {
    /** The target broke it off within an answer. */
    Answering = "answering",
    /** The target broke it off while it was idle, as targets also do after a time that they may not announce. */
    Idle = "idle",
    /** It could not be opened. */
    Opening = "opening",
}

/**
 * Whether the listed incarnations of targets still run, as far as this process sees. A target may restart under its name
 * and address with another software version, and its new row arrives later than it takes connections.
 */
export interface TargetContinuity {
    /**
     * Records that a connection to a target broke: the target may have ended, and another incarnation may follow.
     * @param probe finds out whether the target still takes connections
     */
    recordBroken(targetId: string, how: ConnectionBreak, probe: () => Promise<ProbeResult>): void;
    /** Records that a target has taken a connection that this process began to open at a monotonic time. */
    recordOpened(targetId: string, dialedAt: number): void;
    /** Records bytes over a connection that has been open since a monotonic time. */
    recordBytesReceived(targetId: string, openedAt: number): void;
    /**
     * Whether nothing suggests that what accepts connections at the target's address is another incarnation, or what
     * answers over a connection that has been open since a monotonic time, if one is given.
     */
    isConfirmed(targetId: string, openedAt?: number): boolean;
    /** Whether another incarnation of the target has been listed. */
    hasRestarted(targetId: string): boolean;
    /** Number of targets that are not confirmed, apart from those that have restarted. */
    countUnconfirmed(): number;
}

/** A row expires within this time after its target has ended, so one that is still listed then belongs to a live target. */
const entryExpiryMilliseconds = 5_000;
/** Bytes that a target had sent before it ended may arrive this much later, after one retransmission. */
const inFlightMilliseconds = 250;
/**
 * A target that ends closes its connections and its port together, and needs longer than this to start again. One that
 * takes connections then, and whose port has not refused any, has broken off single connections only.
 */
const portClosedMilliseconds = 100;
/** Bounds the memory; the targets that were marked first are dropped first. */
const maxMarks = 4_096;

/** The last sign that a target may have ended. */
interface Mark {
    /** Monotonic time at which a connection last broke; infinite once the target has restarted. */
    readonly brokenAt: number;
    /** Whether the target has not taken a connection since it was last confirmed. */
    readonly hasRefused: boolean;
}

const neverBroken: Mark = { brokenAt: -Infinity, hasRefused: false };

/** Creates the view of one process. */
export function createTargetContinuity(
    targets: Pick<TargetList, "find" | "onRemoved" | "outageEndedAt">,
    clock: Clock,
    eventLog: EventLog,
): TargetContinuity {
    const marks = new Map<string, Mark>();

    const put = (targetId: string, mark: Mark) => {
        marks.delete(targetId);
        marks.set(targetId, mark);
        const [oldest] = marks.keys();
        if (marks.size > maxMarks && oldest !== undefined) {
            marks.delete(oldest);
        }
    };

    const hasRestarted = (targetId: string) => marks.get(targetId)?.brokenAt === Infinity;

    /** While the store does not answer, rows do not expire. */
    const isConfirmed = (targetId: string) => {
        const mark = marks.get(targetId);
        if (!mark) {
            return true;
        }
        const { brokenAt } = mark;
        const isListed = targets.find(targetId) !== undefined;
        if (!isListed || Math.max(brokenAt, targets.outageEndedAt()) + entryExpiryMilliseconds > clock.monotonicNow()) {
            return false;
        }
        marks.delete(targetId);
        return true;
    };

    const recordOpened = (targetId: string, dialedAt: number) => {
        const mark = marks.size > 0 ? marks.get(targetId) : undefined;
        if (mark && !mark.hasRefused && dialedAt >= mark.brokenAt + portClosedMilliseconds) {
            marks.delete(targetId);
        }
    };

    const probeOnce = async (targetId: string, mark: Mark, probe: () => Promise<ProbeResult>) => {
        const dialedAt = mark.brokenAt + portClosedMilliseconds;
        await clock.sleepUntil(dialedAt);
        if (marks.get(targetId) !== mark || mark.hasRefused) {
            return;
        }
        const found = await probe();
        if (found === ProbeResult.Accepted) {
            recordOpened(targetId, dialedAt);
        }
        else if (marks.get(targetId) === mark) {
            put(targetId, { ...mark, hasRefused: true });
        }
    };

    targets.onRemoved((targetId, { isRestarted }) => {
        if (isRestarted) {
            put(targetId, { brokenAt: Infinity, hasRefused: true });
        }
    });

    return {
        recordBroken: (targetId, how, probe) => {
            if (hasRestarted(targetId)) {
                return;
            }
            const wasConfirmed = isConfirmed(targetId);
            const hasRefused = how === ConnectionBreak.Opening || marks.get(targetId)?.hasRefused === true;
            const mark = { brokenAt: clock.monotonicNow(), hasRefused };
            put(targetId, mark);
            if (wasConfirmed) {
                eventLog.record(EventKind.TargetUnconfirmed, { target: targetId, reason: how });
            }
            if (how !== ConnectionBreak.Opening) {
                void probeOnce(targetId, mark, probe);
            }
        },
        recordOpened,
        recordBytesReceived: (targetId, openedAt) => {
            const { brokenAt } = marks.size > 0 ? marks.get(targetId) ?? neverBroken : neverBroken;
            if (openedAt < brokenAt && clock.monotonicNow() >= brokenAt + inFlightMilliseconds) {
                marks.delete(targetId);
            }
        },
        isConfirmed: (targetId, openedAt = Infinity) =>
            isConfirmed(targetId)
            || (!hasRestarted(targetId) && openedAt < (marks.get(targetId)?.brokenAt ?? -Infinity)),
        hasRestarted,
        countUnconfirmed: () =>
            [...marks].filter(([targetId, { brokenAt }]) => brokenAt < Infinity && !isConfirmed(targetId)).length,
    };
}
