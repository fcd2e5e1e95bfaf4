import { type Clock, EventKind, type EventLog, type Failure, FailureReason, notRun } from "daisyturn-utils";
import { z } from "zod";

/** What the guard needs to know of the other members. */
export interface MajorityView {
    /** Latest time (monotonic) since which every member of some majority has been heard from; undefined if there is none. */
    majorityContactAt(): number | undefined;
    /** Whether others have proof that this run has ended. */
    isPresumedEnded(): boolean;
}

/** Settings of the guard. */
export interface ServiceGuardSettings {
    /** Time without word from the store or a majority after which the process goes out of service. */
    readonly silenceLimitMilliseconds: number;
    readonly checkIntervalMilliseconds: number;
    /** A check that comes so much too late shows that the process was paused. */
    readonly pauseLimitMilliseconds: number;
    /** Time after a pause in which messages that had waited in the system's buffers are still being read. */
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
    /** Nothing heard yet since the start. */
    Starting = "starting",
    /** Neither the store nor a majority heard for too long. */
    CutOff = "cut_off",
    /** Paused, and nothing heard since. */
    Paused = "paused",
    /** Others have proof that this run has ended; only a restart helps. */
    PresumedEnded = "thought_ended",
}

/** Keeps a process that may be out of date from taking new work. */
export interface ServiceGuard {
    /** To be asked right before new work is taken or sent: it notices a pause even before the next check. */
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
    /** Only what was heard later counts. */
    let countsAfter = Number.NEGATIVE_INFINITY;
    let lastLookAt = clock.monotonicNow();
    let wallAhead = clock.wallNow() - clock.monotonicNow();
    let reason: OutOfServiceReason | undefined = OutOfServiceReason.Starting;

    /**
     * A paused process sees its own clock jump between two looks. Where the whole VM was stopped the monotonic clock may
     * have stood still with it; then the wall clock, once set right, has moved against it.
     */
    const noticePause = (now: number) => {
        const ahead = clock.wallNow() - now;
        const isLate = now - lastLookAt > settings.checkIntervalMilliseconds + settings.pauseLimitMilliseconds;
        const isMoved = Math.abs(ahead - wallAhead) > settings.pauseLimitMilliseconds;
        lastLookAt = now;
        wallAhead = ahead;
        if (isLate || isMoved) {
            countsAfter = now + settings.backlogMilliseconds;
        }
    };

    /** When the store or a majority was last heard. */
    const readHeardAt = (): number | undefined => {
        const times = [lastStoreAnswerAt(), majority.majorityContactAt()].filter(time => time !== undefined);
        return times.length > 0 ? Math.max(...times) : undefined;
    };

    const findReason = (now: number): OutOfServiceReason | undefined => {
        const heardAt = readHeardAt();
        if (majority.isPresumedEnded()) {
            return OutOfServiceReason.PresumedEnded;
        }
        if (heardAt === undefined) {
            return OutOfServiceReason.Starting;
        }
        if (heardAt <= countsAfter) {
            return OutOfServiceReason.Paused;
        }
        return now - heardAt > settings.silenceLimitMilliseconds ? OutOfServiceReason.CutOff : undefined;
    };

    const look = () => {
        const now = clock.monotonicNow();
        noticePause(now);
        const before = reason;
        reason = findReason(now);
        if ((before === undefined) !== (reason === undefined)) {
            announce();
        }
    };

    const announce = () => {
        const kind = reason === undefined ? EventKind.BackInService : EventKind.OutOfService;
        eventLog.record(kind, { reason });
        listeners.forEach(listener => listener(reason === undefined));
    };

    const readReason = () => {
        look();
        return reason;
    };

    return {
        isInService: () => readReason() === undefined,
        reason: readReason,
        refusal: () => {
            const present = readReason();
            return present && notRun(FailureReason.OutOfService, `this process is out of service: ${present}`);
        },
        onChange: listener => void listeners.push(listener),
        run: async signal => {
            while (!signal.aborted) {
                look();
                await clock.sleepUntil(clock.monotonicNow() + settings.checkIntervalMilliseconds, signal);
            }
        },
    };
}
