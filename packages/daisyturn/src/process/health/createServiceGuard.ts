import { type Clock, EventKind, type EventLog, type Failure, FailureReason, notRun } from "daisyturn-utils";
import { z } from "zod";

/** The guard's view of the other members. */
export interface MajorityView {
    /**
     * Latest monotonic time since which every member of some majority has sent a message; undefined if there is none.
     */
    majorityContactAt(): number | undefined;
    /** Whether other members have proof that this incarnation has ended. */
    isPresumedEnded(): boolean;
}

/** Settings of the guard. */
export interface ServiceGuardSettings {
    /** Time without a message from the store or a majority after which the process goes out of service. */
    readonly silenceLimitMilliseconds: number;
    readonly checkIntervalMilliseconds: number;
    /** A check that is late by more than this indicates that the process was paused. */
    readonly pauseLimitMilliseconds: number;
    /** Time after a pause during which messages from before its end are still read from the system's buffers. */
    readonly backlogMilliseconds: number;
}

/** Checks settings and fills in defaults. */
export const serviceGuardSettingsSchema = z.strictObject({
    silenceLimitMilliseconds: z.number().positive().default(5_000),
    checkIntervalMilliseconds: z.number().positive().default(250),
    pauseLimitMilliseconds: z.number().positive().default(2_000),
    backlogMilliseconds: z.number().min(0).default(250),
});

export interface ServiceGuardOptions extends z.input<typeof serviceGuardSettingsSchema> {
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly majority: MajorityView;
    /** Monotonic time of the store's last answer. */
    readonly lastStoreAnswerAt: () => number | undefined;
}

/** Why a process is out of service. */
export enum OutOfServiceReason {
    /** No message received since the start. */
    Starting = "starting",
    /** No message from the store or a majority within the time limit. */
    CutOff = "cut_off",
    /** Paused, and no message received since. */
    Paused = "paused",
    /** Other members have proof that this incarnation has ended; only a restart ends this state. */
    PresumedEnded = "thought_ended",
}

/** Prevents a process whose state may be outdated from accepting new work. */
export interface ServiceGuard {
    /** Called right before new work is accepted or sent, because it detects a pause even before the next check. */
    isInService(): boolean;
    reason(): OutOfServiceReason | undefined;
    /** The refusal of new work; undefined while in service. */
    refusal(): Failure | undefined;
    onChange(listener: (isInService: boolean) => void): void;
    /** Checks until `signal` is aborted. */
    run(signal: AbortSignal): Promise<void>;
}

export function createServiceGuard(options: ServiceGuardOptions): ServiceGuard {
    const { clock, eventLog, majority, lastStoreAnswerAt, ...input } = options;
    const settings = serviceGuardSettingsSchema.parse(input);
    const listeners: ((isInService: boolean) => void)[] = [];
    /** Monotonic time. Only messages received later are evidence that the process is in service. */
    let validAfter = Number.NEGATIVE_INFINITY;
    let lastCheckAt = clock.monotonicNow();
    let wallOffset = clock.wallNow() - clock.monotonicNow();
    let reason: OutOfServiceReason | undefined = OutOfServiceReason.Starting;

    /**
     * Detects a pause by a jump of the clock between two checks. If the whole VM was stopped, the monotonic clock may
     * have stopped too. Then the wall clock, once corrected, has shifted relative to the monotonic clock.
     */
    const detectPause = (now: number) => {
        const offset = clock.wallNow() - now;
        const isLate = now - lastCheckAt > settings.checkIntervalMilliseconds + settings.pauseLimitMilliseconds;
        const isShifted = Math.abs(offset - wallOffset) > settings.pauseLimitMilliseconds;
        lastCheckAt = now;
        wallOffset = offset;
        if (isLate || isShifted) {
            validAfter = now + settings.backlogMilliseconds;
        }
    };

    /** Monotonic time of the last contact with the store or a majority. */
    const findLastContactAt = (): number | undefined => {
        const times = [lastStoreAnswerAt(), majority.majorityContactAt()].filter(time => time !== undefined);
        return times.length > 0 ? Math.max(...times) : undefined;
    };

    const determineReason = (now: number): OutOfServiceReason | undefined => {
        const lastContactAt = findLastContactAt();
        if (majority.isPresumedEnded()) {
            return OutOfServiceReason.PresumedEnded;
        }
        if (lastContactAt === undefined) {
            return OutOfServiceReason.Starting;
        }
        if (lastContactAt <= validAfter) {
            return OutOfServiceReason.Paused;
        }
        return now - lastContactAt > settings.silenceLimitMilliseconds ? OutOfServiceReason.CutOff : undefined;
    };

    const check = () => {
        const now = clock.monotonicNow();
        detectPause(now);
        const previous = reason;
        reason = determineReason(now);
        if ((previous === undefined) !== (reason === undefined)) {
            reportChange();
        }
    };

    const reportChange = () => {
        const kind = reason === undefined ? EventKind.BackInService : EventKind.OutOfService;
        eventLog.record(kind, { reason });
        listeners.forEach(listener => listener(reason === undefined));
    };

    const checkReason = () => {
        check();
        return reason;
    };

    return {
        isInService: () => checkReason() === undefined,
        reason: checkReason,
        refusal: () => {
            const current = checkReason();
            return current && notRun(FailureReason.OutOfService, `this process is out of service: ${current}`);
        },
        onChange: listener => void listeners.push(listener),
        run: async signal => {
            while (!signal.aborted) {
                check();
                await clock.sleepUntil(clock.monotonicNow() + settings.checkIntervalMilliseconds, signal);
            }
        },
    };
}
