import type { AnswerMemory, ReadTurns } from "daisyturn/forwarding";
import { Gauge, type Registry } from "prom-client";

/** The parts from which the gauges of targets' answers are read. */
export interface ObservedAnswers {
    readonly readTurns: Pick<ReadTurns, "counts">;
    readonly answerMemory: Pick<AnswerMemory, "counts">;
}

/** Registers the gauges of what targets send. */
export function registerAnswerGauges({ readTurns, answerMemory }: ObservedAnswers, registers: Registry[]): void {
    new Gauge({
        name: "daisyturn_cut_reads",
        help: "Reads of targets' answers since the start by why they were cut: end of a turn, or no credit left",
        labelNames: ["reason"],
        registers,
        collect() {
            const { cut, throttled } = readTurns.counts();
            this.set({ reason: "turn" }, cut);
            this.set({ reason: "credit" }, throttled);
        },
    });
    new Gauge({
        name: "daisyturn_waiting_reads",
        help: "Connections to targets with bytes that wait for a turn of the event loop",
        registers,
        collect() {
            this.set(readTurns.counts().waiting);
        },
    });
    new Gauge({
        name: "daisyturn_answer_bytes",
        help: "Bytes of answers that are held until their callers have read them",
        registers,
        collect() {
            this.set(answerMemory.counts().bytes);
        },
    });
    new Gauge({
        name: "daisyturn_waiting_answers",
        help: "Answers whose targets are held back, because the process has no memory for more of them",
        registers,
        collect() {
            this.set(answerMemory.counts().waiting);
        },
    });
    new Gauge({
        name: "daisyturn_answer_waits",
        help: "Times since the start that a target was held back for lack of memory",
        registers,
        collect() {
            this.set(answerMemory.counts().waits);
        },
    });
    new Gauge({
        name: "daisyturn_unread_answers",
        help: "Answers since the start that their callers had not read by their deadline, given up for lack of memory",
        registers,
        collect() {
            this.set(answerMemory.counts().unread);
        },
    });
}
