import type { SentReport, SpeedEstimate, SpeedSample } from "../../speeds/speedEntries.js";
import { isAmount, isName, readList } from "./notification.js";

/**
 * Target, milliseconds since its report, reported figure in percent (0: none), four amounts, and calls at the target, which
 * are absent if it does not report them. The amounts of a sample are measured calls, mean milliseconds, the same divided by
 * the figures, and 0; those of an estimate are mean milliseconds, the last second in percent of them, the weight, and the
 * usual figure in percent.
 */
type SpeedEntry = readonly [string, number, number, number, number, number, number, number?];

/** Far more than milliseconds, calls or percent can be here. */
const maxAmount = 1e6;
const isLoad = (value: unknown) => isAmount(value, maxAmount);
const isOptionalLoad = (value: unknown) => value === undefined || isLoad(value);
const checks = [isName, isLoad, isLoad, isLoad, isLoad, isLoad, isLoad, isOptionalLoad];

function roundTenth(value: number): number {
    return Math.round(value * 10) / 10;
}

function encode(
    { targetId, age, figure = 0, calls }: SentReport,
    amounts: [number, number, number, number],
): SpeedEntry {
    const entry: SpeedEntry = [targetId, Math.round(age), Math.round(figure * 100), ...amounts];
    return calls === undefined ? entry : [...entry, Math.round(calls)] as unknown as SpeedEntry;
}

function decodeReport([targetId, age, percent, , , , , calls]: SpeedEntry): SentReport {
    return { targetId, age, figure: percent > 0 ? percent / 100 : undefined, calls };
}

/** Undefined, and thus not part of the message, if there are none. */
export function encodeSamples(samples: readonly SpeedSample[]): readonly SpeedEntry[] | undefined {
    const entries = samples.map(sample =>
        encode(sample, [sample.measuredCalls, roundTenth(sample.mean), roundTenth(sample.usualMean), 0])
    );
    return entries.length > 0 ? entries : undefined;
}

/**
 * Reads the samples of a message; none if its version does not send them.
 *
 * @throws if the value is neither missing nor an array
 */
export function readSamples(value: unknown): readonly SpeedSample[] {
    return readList<SpeedEntry>(value ?? [], checks).map(entry => {
        const [, , , measuredCalls, mean, usualMean] = entry;
        return { ...decodeReport(entry), measuredCalls, mean, usualMean };
    });
}

/** Undefined, and thus not part of the message, if there are none. */
export function encodeEstimates(estimates: readonly SpeedEstimate[]): readonly SpeedEntry[] | undefined {
    const entries = estimates.map(estimate =>
        encode(estimate, [
            roundTenth(estimate.usual),
            Math.round(estimate.recent * 100),
            Math.round(estimate.weight),
            Math.round(estimate.usualFigure * 100),
        ])
    );
    return entries.length > 0 ? entries : undefined;
}

/**
 * Reads the estimates of a message; none if its version does not send them.
 *
 * @throws if the value is neither missing nor an array
 */
export function readEstimates(value: unknown): readonly SpeedEstimate[] {
    return readList<SpeedEntry>(value ?? [], checks).map(entry => {
        const [, , , usual, recent, weight, usualPercent] = entry;
        return { ...decodeReport(entry), usual, recent: recent / 100, weight, usualFigure: usualPercent / 100 };
    });
}
