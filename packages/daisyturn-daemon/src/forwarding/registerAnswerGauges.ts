import { type AnswerMemory, ByteSource, type ReadTurns } from "daisyturn/forwarding";
import { Gauge, type Registry } from "prom-client";

/** The parts from which the gauges of bounded reads and of targets' answers are read. */
export interface ObservedAnswers {
    readonly readTurns: ReadTurns;
    readonly answerMemory: Pick<AnswerMemory, "counts">;
}

/** Registers the gauges of what is read and held. */
export function registerAnswerGauges({ readTurns, answerMemory }: ObservedAnswers, registers: Registry[]): void {
    new Gauge({
        name: "daisyturn_cut_reads",
        help: "Reads since the start by who sends and why they were cut: end of a turn, or no credit left",
        labelNames: ["source", "reason"],
        registers,
        collect() {
            for (const source of Object.values(ByteSource)) {
                const { cut, throttled } = readTurns.counts(source);
                this.set({ source, reason: "turn" }, cut);
                this.set({ source, reason: "credit" }, throttled);
            }
        },
    });
    new Gauge({
        name: "daisyturn_waiting_reads",
        help: "Connections with bytes that wait for a turn of the event loop, by who sends",
        labelNames: ["source"],
        registers,
        collect() {
            for (const source of Object.values(ByteSource)) {
                this.set({ source }, readTurns.counts(source).waiting);
            }
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
