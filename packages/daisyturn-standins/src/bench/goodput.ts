import type { PartnerName } from "../fleet/partnerConfiguration.js";
import { CallOutcome, type CallRecord } from "../load/callerClient.js";
import type { TracedRequest } from "./tracedRequest.js";

/** Limits of one profile in milliseconds of simulated time. */
export interface GoodputLimits {
    readonly firstTokenMilliseconds: number;
    readonly betweenTokensMilliseconds: number;
    readonly totalMilliseconds: number;
}

/** A request of the trace, and the result that its caller received. */
export interface MeasuredRequest {
    readonly request: TracedRequest;
    readonly record: CallRecord;
    readonly limits: GoodputLimits;
    /** Simulated milliseconds per millisecond. */
    readonly speed: number;
    /** Whether the answer equals the engine's answer byte for byte. */
    readonly isCorrect: boolean;
}

/** Figures of one run. Rates are per second of simulated time. */
export interface GoodputFigures {
    readonly offered: number;
    readonly good: number;
    readonly goodput: number;
    readonly refused: number;
    readonly late: number;
    readonly wrong: number;
    readonly unanswered: number;
    readonly firstTokenMedian: number;
    readonly firstToken95: number;
    /** 95th percentile, over answers, of the mean time between tokens. */
    readonly betweenTokens95: number;
}

const millisecondsPerSecond = 1000;

/** Whether a request counts towards goodput: correct, and within its first-token, between-token and total limits. */
export function isGood(measured: MeasuredRequest): boolean {
    const { record, limits } = measured;
    return record.outcome === CallOutcome.Answered
        && measured.isCorrect
        && firstTokenTime(measured) <= limits.firstTokenMilliseconds
        && meanBetweenTokens(measured) <= limits.betweenTokensMilliseconds
        && (record.endedAt - record.startedAt) * measured.speed <= limits.totalMilliseconds;
}

/** Computes the figures of a run, for all partners or for one. */
export function computeGoodput(
    all: readonly MeasuredRequest[],
    simulatedMilliseconds: number,
    partner?: PartnerName,
): GoodputFigures {
    const counted = all.filter(one => partner === undefined || one.request.traceClass.partner === partner);
    const answered = counted.filter(one => one.record.outcome === CallOutcome.Answered);
    const good = counted.filter(isGood).length;
    const wrong = answered.filter(one => !one.isCorrect).length;
    const refused = counted.filter(one => one.record.outcome === CallOutcome.Refused).length;
    return {
        offered: counted.length,
        good,
        goodput: good / simulatedMilliseconds * millisecondsPerSecond,
        refused,
        wrong,
        late: answered.length - wrong - good,
        unanswered: counted.length - answered.length - refused,
        firstTokenMedian: quantile(answered.map(firstTokenTime), 0.5),
        firstToken95: quantile(answered.map(firstTokenTime), 0.95),
        betweenTokens95: quantile(answered.map(meanBetweenTokens), 0.95),
    };
}

/** Simulated milliseconds from the start to the first token. */
export function firstTokenTime(measured: MeasuredRequest): number {
    const { record, speed } = measured;
    return ((record.firstTokenAt ?? record.endedAt) - record.startedAt) * speed;
}

/** Mean simulated milliseconds between tokens: the total decode time divided by the tokens after the first. */
export function meanBetweenTokens(measured: MeasuredRequest): number {
    const { record, request, speed } = measured;
    const decodeTime = (record.endedAt - (record.firstTokenAt ?? record.endedAt)) * speed;
    return decodeTime / Math.max(1, request.outputTokens - 1);
}

/** Value below which the given share of the values lies. NaN if there are no values. */
export function quantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
}
