import type { Clock } from "daisyturn-utils";

/** Bounds the bytes that a process holds of all answers together, until their callers have read them. */
export interface AnswerMemory {
    /**
     * @param deadline monotonic time after which an answer that its caller has not read may be given up
     * @param giveUp closes the connection of the caller
     */
    open(deadline: number, giveUp: () => void): HeldAnswer;
    counts(): AnswerMemoryCounts;
}

/** What is held of the answer to one call. */
export interface HeldAnswer {
    /** Sets the number of bytes that are held. */
    update(byteCount: number): void;
    /** Whether more may be read from the target. If not, `resume` is called when there is room. */
    mayRead(resume: () => void): boolean;
    /** Whether the target is held back. */
    isWaiting(): boolean;
    /** Returns all memory, once the caller has the answer or is gone. */
    close(): void;
}

/** Numbers at this moment, and since the start of the process. */
export interface AnswerMemoryCounts {
    readonly bytes: number;
    /** Answers whose targets are held back. */
    readonly waiting: number;
    /** Times that a target was held back since the start. */
    readonly waits: number;
    /** Answers since the start that were given up because their callers had not read them by their deadline. */
    readonly unread: number;
}

/** Options of {@link createAnswerMemory}. */
export interface AnswerMemoryOptions {
    readonly clock: Clock;
    /** Bytes of all answers; one answer more may be read beyond them. */
    readonly maxBytes?: number;
}

/**
 * With one answer beyond it, 48 MiB of requests and the buffers that wait for the garbage collector, this stays below the
 * memory of the smallest machines, 350 MB.
 */
const defaultMaxBytes = 32 * 1024 * 1024;
/** Bytes of each answer that are never held back, so that short calls do not wait for large ones. */
const maxFreeBytes = 64 * 1024;
const checkIntervalMilliseconds = 100;
/** An answer that has not grown for so long does not keep its exemption from others, whose targets may send. */
const stallMilliseconds = 250;
/** Bytes beyond the bound at which no further answer is exempt, since those that stall hold what they have. */
const maxExcessBytes = 16 * 1024 * 1024;

interface Answer {
    /** Grows with each answer that is opened. */
    readonly number: number;
    readonly deadline: number;
    readonly giveUp: () => void;
    bytes: number;
    /** Monotonic time at which it became larger. */
    grownAt: number;
    resume: (() => void) | undefined;
}

/** Creates the memory of one process. Answers that were opened first are read first, so that they are complete soon. */
export function createAnswerMemory({ clock, maxBytes = defaultMaxBytes }: AnswerMemoryOptions): AnswerMemory {
    /** In the order in which they were opened. */
    const answers = new Set<Answer>();
    /** The answer that is read although there is no room, since all others may wait for it. */
    let exempt: Answer | undefined;
    let lastNumber = 0;
    let totalBytes = 0;
    let waitingCount = 0;
    let waits = 0;
    let unread = 0;
    let isWakeScheduled = false;
    let timer: NodeJS.Timeout | undefined;

    const findFirstWaiting = () => {
        if (waitingCount > 0) {
            for (const answer of answers) {
                if (answer.resume) {
                    return answer;
                }
            }
        }
        return undefined;
    };
    const hasRoom = () => totalBytes < maxBytes || exempt === undefined;
    const wake = () => {
        isWakeScheduled = false;
        const first = hasRoom() ? findFirstWaiting() : undefined;
        if (first) {
            const { resume } = first;
            first.resume = undefined;
            waitingCount -= 1;
            if (totalBytes >= maxBytes) {
                exempt = first;
                first.grownAt = clock.monotonicNow();
            }
            resume?.();
            scheduleWake();
        }
    };
    const scheduleWake = () => {
        if (!isWakeScheduled && waitingCount > 0 && hasRoom()) {
            isWakeScheduled = true;
            setImmediate(wake);
        }
    };
    /** Callers that do not read their answers must not keep the memory from others. */
    const check = () => {
        if (waitingCount === 0) {
            clearInterval(timer);
            timer = undefined;
            return;
        }
        const now = clock.monotonicNow();
        if (exempt && now - exempt.grownAt >= stallMilliseconds && totalBytes < maxBytes + maxExcessBytes) {
            exempt = undefined;
            scheduleWake();
        }
        for (const answer of [...answers]) {
            if (answer.deadline < now && answer.bytes > 0 && !answer.resume) {
                unread += 1;
                answer.giveUp();
            }
        }
    };
    const wait = (answer: Answer, resume: () => void) => {
        waitingCount += answer.resume ? 0 : 1;
        waits += answer.resume ? 0 : 1;
        answer.resume = resume;
        timer ??= setInterval(check, checkIntervalMilliseconds).unref();
        scheduleWake();
        return false;
    };
    const mayRead = (answer: Answer, resume: () => void) => {
        if (answer.bytes < maxFreeBytes || answer === exempt || !answers.has(answer)) {
            return true;
        }
        const isFirst = answer.number <= (findFirstWaiting()?.number ?? Infinity);
        return totalBytes < maxBytes && isFirst ? true : wait(answer, resume);
    };
    const update = (answer: Answer, byteCount: number) => {
        if (answers.has(answer)) {
            answer.grownAt = byteCount > answer.bytes ? clock.monotonicNow() : answer.grownAt;
            totalBytes += byteCount - answer.bytes;
            answer.bytes = byteCount;
            scheduleWake();
        }
    };
    const stopWaiting = (answer: Answer) => {
        waitingCount -= answer.resume ? 1 : 0;
        answer.resume = undefined;
    };

    return {
        open: (deadline, giveUp) => {
            const grownAt = clock.monotonicNow();
            const answer: Answer = { number: ++lastNumber, deadline, giveUp, bytes: 0, grownAt, resume: undefined };
            answers.add(answer);
            return {
                update: byteCount => update(answer, byteCount),
                mayRead: resume => mayRead(answer, resume),
                isWaiting: () => answer.resume !== undefined,
                close: () => {
                    update(answer, 0);
                    stopWaiting(answer);
                    answers.delete(answer);
                    exempt = exempt === answer ? undefined : exempt;
                    scheduleWake();
                },
            };
        },
        counts: () => ({ bytes: totalBytes, waiting: waitingCount, waits, unread }),
    };
}
