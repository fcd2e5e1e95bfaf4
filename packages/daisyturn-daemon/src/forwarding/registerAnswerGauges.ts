import type { ReadTurns } from "daisyturn/forwarding";
import { Gauge, type Registry } from "prom-client";

/** The parts from which the gauges of targets' answers are read. */
export interface ObservedAnswers {
    readonly readTurns: Pick<ReadTurns, "counts">;
}

/** Registers the gauges of what targets send. */
export function registerAnswerGauges({ readTurns }: ObservedAnswers, registers: Registry[]): void {
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
}
