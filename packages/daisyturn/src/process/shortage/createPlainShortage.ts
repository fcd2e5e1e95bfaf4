import type { Clock } from "daisyturn-utils";
import type { ReportedLoad } from "../../ports/forwardedCall.js";
import type { ListedTarget } from "../../ports/listedTarget.js";
import { listUsableTargets, type UsableTargetsParts } from "../forwarding/placement/listUsableTargets.js";
import type { TargetHealth } from "../forwarding/targets/createTargetHealth.js";
import type { TargetLoads } from "../forwarding/views/createTargetLoads.js";
import { type CallQueue, createCallQueue } from "./createCallQueue.js";
import { createStartPacer, type StartPacer } from "./createStartPacer.js";
import type { WaitingCall } from "./waitingCall.js";

/** How the queue of a service ended for a call. Used as a metric label. */
export enum QueueResult {
    Started = "started",
    Refused = "refused",
    /** The caller left, or its deadline passed. */
    Left = "left",
}

/** What {@link createPlainShortage} needs. */
export interface PlainShortageOptions extends UsableTargetsParts {
    readonly loads: Pick<TargetLoads, "calls">;
    readonly health: Pick<TargetHealth, "selectTrusted">;
    /** Whether the configuration in force asks for the queue. */
    readonly isActive: () => boolean;
    readonly recordQueued: (result: QueueResult) => void;
    readonly clock: Clock;
}

/** A plain call that is about to be sent. */
export interface QueuedCall extends Pick<WaitingCall, "account" | "priority" | "deadline"> {
    readonly service: string;
    /** Aborted once the caller has left or the deadline has passed. */
    readonly signal: AbortSignal;
}

/** The end of a wait. */
export interface QueueEnd {
    readonly result: QueueResult;
    /** Monotonic time at which capacity is expected, for a refused call. */
    readonly retryAt?: number;
}

/** Holds plain calls back while all targets of their service are full. */
export interface PlainShortage {
    /** Whether a call may be sent at once. If not, it waits by {@link PlainShortage.wait}. */
    mayPass(call: QueuedCall): boolean;
    wait(call: QueuedCall): Promise<QueueEnd>;
    recordReport(target: Pick<ListedTarget, "targetId" | "service">, load: ReportedLoad): void;
    /** Records a call that has ended at a target after so many milliseconds. */
    recordEnd(service: string, duration: number): void;
    /** Number of calls that wait. */
    countWaiting(): number;
    forget(targetId: string): void;
}

/**
 * A target is full with this many calls for each slot. Those beyond its slots are begun as soon as one is free, without a
 * round trip; targets refuse calls only with five for each slot, and other processes send at the same time.
 */
const callsPerSlot = 1.5;
/**
 * Calls within the share of their account may start this many calls early, and others later: a process that sends a few
 * calls a second could not prefer any call otherwise.
 */
const overdraft = 1.5;
/** Interval at which waiting calls are judged again while no call ends; reports of full targets lose weight meanwhile. */
const judgeMilliseconds = 25;

export function createPlainShortage(options: PlainShortageOptions): PlainShortage {
    const { loads, health, isActive, recordQueued, clock } = options;
    const queues = new Map<string, CallQueue & { readonly pacer: StartPacer; }>();
    /** Slots of the targets that report their load, as they report them. */
    const reportedSlots = new Map<string, number>();
    const judging = new Set<string>();

    const findQueue = (service: string) => {
        const now = clock.monotonicNow();
        const queue = queues.get(service) ?? { ...createCallQueue(now), pacer: createStartPacer(now) };
        queues.set(service, queue);
        return queue;
    };

    /** A target that has not reported its load has room for any number of calls. */
    const findTargetRoom = ({ targetId }: ListedTarget) => {
        const slots = reportedSlots.get(targetId);
        return slots === undefined ? Infinity : Math.max(0, Math.ceil(slots * callsPerSlot - loads.calls(targetId)));
    };

    /** Without a usable target nothing is held back: the call is refused for that reason. */
    const findRoom = (service: string, overdraft = 0) => {
        // Calls are placed at trusted targets only, as far as there are any.
        const usable = health.selectTrusted(listUsableTargets(options, service, { avoid: new Set() }));
        const room = usable.reduce((sum, target) => sum + findTargetRoom(target), 0);
        return usable.length === 0
            ? Infinity
            : Math.min(room, findQueue(service).pacer.countAvailable(clock.monotonicNow(), overdraft));
    };

    const judge = (service: string) => {
        if (findQueue(service).length() === 0) {
            return;
        }
        const room = { any: findRoom(service), withinShare: findRoom(service, overdraft) };
        findQueue(service).judge(room, clock.monotonicNow());
    };

    const judgeWhileWaiting = async (service: string) => {
        if (judging.has(service)) {
            return;
        }
        judging.add(service);
        while (findQueue(service).length() > 0) {
            await clock.sleepUntil(clock.monotonicNow() + judgeMilliseconds);
            judge(service);
        }
        judging.delete(service);
    };

    const wait = (call: QueuedCall) =>
        new Promise<QueueEnd>(resolve => {
            const queue = findQueue(call.service);
            const end = (ended: QueueEnd) => {
                call.signal.removeEventListener("abort", leave);
                recordQueued(ended.result);
                resolve(ended);
            };
            const waiting: WaitingCall = {
                ...call,
                start: () => {
                    queue.pacer.recordStart(clock.monotonicNow());
                    end({ result: QueueResult.Started });
                },
                refuse: retryAt => end({ result: QueueResult.Refused, retryAt }),
            };
            const leave = () => {
                queue.remove(waiting);
                end({ result: QueueResult.Left });
            };
            call.signal.addEventListener("abort", leave);
            queue.add(waiting, clock.monotonicNow());
            judge(call.service);
            void judgeWhileWaiting(call.service);
        });

    return {
        mayPass: ({ service, account }) => {
            if (!isActive()) {
                return true;
            }
            const queue = findQueue(service);
            const isFree = queue.length() === 0 && findRoom(service) >= 1;
            if (isFree) {
                queue.recordPassed(account, clock.monotonicNow());
                queue.pacer.recordStart(clock.monotonicNow());
            }
            return isFree;
        },
        wait,
        recordReport: ({ targetId, service }, load) => {
            if (isActive() && load.slots > 0) {
                reportedSlots.set(targetId, load.slots);
                findQueue(service).pacer.recordReport(load, clock.monotonicNow());
            }
        },
        recordEnd: (service, duration) => {
            if (isActive()) {
                findQueue(service).recordEnd(duration, clock.monotonicNow());
                judge(service);
            }
        },
        countWaiting: () => [...queues.values()].reduce((sum, queue) => sum + queue.length(), 0),
        forget: targetId => reportedSlots.delete(targetId),
    };
}
