import { Clock } from "daisyturn-utils";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Choice } from "./exploreSchedules.js";

/** A process whose messages and timers are scheduled by the explorer. */
export interface ScheduledProcess {
    readonly processId: string;
    readonly clock: Clock;
    isLive: boolean;
    isPaused: boolean;
    /** Callbacks that run when the process resumes after a pause. */
    deferred: (() => void)[];
}

/** One possible outcome of a message: its effect at the receiver, and the answer to the sender. */
export interface MessageOutcome<Answer> {
    readonly label: string;
    readonly run: () => Answer;
    /** Whether the sender receives the answer only after time has passed. */
    readonly isSlow?: boolean;
}

/** A message. */
export interface Message<Answer> {
    readonly process: ScheduledProcess;
    readonly label: string;
    /** The default outcome is the first. */
    readonly outcomes: readonly MessageOutcome<Answer>[];
    /** Effect that it may still have at the receiver after its sender was killed. */
    readonly effect?: () => void;
}

interface Sleeper {
    readonly process: ScheduledProcess;
    readonly deadline: number;
    readonly wake: () => void;
}

type Pending = Message<unknown> & { readonly resolve: (answer: never) => void; };
type Event = Omit<Choice, "cost">;

/** Schedules messages, timers, pauses and ends of several processes, one step at a time. */
export interface ScheduledProcesses {
    start(processId: string): ScheduledProcess;
    send<Answer>(message: Message<Answer>): Promise<Answer>;
    /** Waits until the process is not paused. */
    awaitRunning(process: ScheduledProcess): Promise<void>;
    /** Runs an effect late: after time has passed, or earlier at a cost in the explorer's budget. */
    doLater(effect: () => void): void;
    now(): number;
    /** Lists events without faults: messages in their order, then timers, ends of pauses and late effects. */
    listEvents(): readonly Event[];
    /** Lists faults: the other outcomes of messages, and kills and pauses of processes. */
    listFaults(): readonly Event[];
    settle(): Promise<void>;
    /** Whether a process was killed or is falsely presumed ended. */
    wasDisturbed(): boolean;
    /** Whether the other processes presume this process ended. */
    isPresumedEnded(processId: string): boolean;
}

/** Creates a schedule without processes at time 0. */
export function createScheduledProcesses(): ScheduledProcesses {
    const processes: ScheduledProcess[] = [];
    const presumedEnded = new Set<string>();
    let pending: Pending[] = [];
    let sleepers: Sleeper[] = [];
    let late: (() => void)[] = [];
    let now = 0;

    const start = (processId: string): ScheduledProcess => {
        const process: ScheduledProcess = {
            processId,
            isLive: true,
            isPaused: false,
            deferred: [],
            clock: new ScheduledClock(sleep => addSleeper({ process, ...sleep }), () => now),
        };
        processes.push(process);
        return process;
    };

    const addSleeper = (sleeper: Sleeper) => {
        if (sleeper.process.isLive) {
            sleepers.push(sleeper);
        }
        return () => {
            sleepers = sleepers.filter(other => other !== sleeper);
        };
    };

    const send = <Answer>(message: Message<Answer>) =>
        new Promise<Answer>(resolve => {
            // Messages of a killed process are discarded.
            if (message.process.isLive) {
                pending.push({ ...message, resolve });
            }
        });

    const deliver = (message: Pending, outcome: MessageOutcome<unknown>) => {
        pending = pending.filter(other => other !== message);
        const answer = outcome.run() as never;
        const reply = () => message.process.isLive && message.resolve(answer);
        if (outcome.isSlow) {
            late.push(reply);
        }
        else if (message.process.isPaused) {
            message.process.deferred.push(reply);
        }
        else {
            reply();
        }
    };

    const nextSleeper = () =>
        sleepers
            .filter(sleeper => !sleeper.process.isPaused)
            .reduce<Sleeper | undefined>((best, one) => best && best.deadline <= one.deadline ? best : one, undefined);

    const advance = (sleeper: Sleeper) => {
        now = Math.max(now, sleeper.deadline);
        sleepers = sleepers.filter(other => other !== sleeper);
        sleeper.wake();
    };

    const kill = (process: ScheduledProcess) => {
        process.isLive = false;
        presumedEnded.add(process.processId);
        const own = pending.filter(message => message.process === process);
        late.push(...own.flatMap(message => message.effect ?? []));
        pending = pending.filter(message => message.process !== process);
        sleepers = sleepers.filter(sleeper => sleeper.process !== process);
    };

    const pause = (process: ScheduledProcess, isPresumedEnded: boolean) => {
        process.isPaused = true;
        if (isPresumedEnded) {
            presumedEnded.add(process.processId);
        }
    };

    const resume = (process: ScheduledProcess) => {
        process.isPaused = false;
        process.deferred.splice(0).forEach(reply => reply());
    };

    const runLate = (effect: () => void) => {
        late = late.filter(other => other !== effect);
        effect();
    };

    const listEvents = (): Event[] => {
        const sleeper = nextSleeper();
        const paused = processes.filter(process => process.isPaused);
        return [
            ...pending.flatMap(message => listOutcomes(message).slice(0, 1)),
            ...(sleeper ? [{ label: "time passes", run: () => advance(sleeper) }] : []),
            ...paused.map(process => ({ label: `${process.processId} resumes`, run: () => resume(process) })),
            ...late.map(effect => ({ label: "late effect", run: () => runLate(effect) })),
        ];
    };

    const listOutcomes = (message: Pending): Event[] =>
        message.outcomes.map(outcome => ({
            label: `${message.process.processId} ${message.label} ${outcome.label}`,
            run: () => deliver(message, outcome),
        }));

    const listFaults = (): Event[] => [
        ...pending.flatMap(message => listOutcomes(message).slice(1)),
        ...processes.filter(process => process.isLive && !process.isPaused).flatMap(process => [
            { label: `${process.processId} is killed`, run: () => kill(process) },
            { label: `${process.processId} pauses`, run: () => pause(process, false) },
            { label: `${process.processId} pauses, presumed ended`, run: () => pause(process, true) },
        ]),
    ];

    return {
        start,
        send,
        listEvents,
        listFaults,
        awaitRunning: async process => {
            if (process.isPaused) {
                await new Promise<void>(resolve => process.deferred.push(resolve));
            }
        },
        doLater: effect => late.push(effect),
        now: () => now,
        settle: () => nextTurn(),
        wasDisturbed: () => presumedEnded.size > 0,
        isPresumedEnded: processId => presumedEnded.has(processId),
    };
}

type Sleep = Pick<Sleeper, "deadline" | "wake">;

class ScheduledClock extends Clock {
    constructor(private readonly addSleeper: (sleep: Sleep) => () => void, private readonly now: () => number) {
        super();
    }

    override monotonicNow(): number {
        return this.now();
    }

    override wallNow(): number {
        return this.now();
    }

    override sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
        if (deadline <= this.now() || signal?.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const remove = this.addSleeper({ deadline, wake: resolve });
            signal?.addEventListener("abort", () => {
                remove();
                resolve();
            });
        });
    }
}
