import { createSeededRandom, type Random } from "daisyturn-utils";
import { traceClasses } from "./traceClasses.js";
import { type TraceClass, type TracedRequest, TraceKind } from "./tracedRequest.js";

/** Share of engine time per class during one phase of the trace. */
export type Mix = Readonly<Record<TraceKind, number>>;

/** A period of the trace with a constant mix. */
export interface TracePhase {
    /** Milliseconds of simulated time after the start at which the phase begins. */
    readonly startsAt: number;
    readonly mix: Mix;
}

export interface TracePlan {
    readonly seed: number;
    /** Milliseconds of simulated time. */
    readonly endsAt: number;
    readonly phases: readonly TracePhase[];
    /** Engine seconds that arrive per second of simulated time. */
    readonly offeredEngines: number;
    /** Minimum engine seconds of one request of a class. */
    readonly engineSeconds: (traceClass: TraceClass) => number;
}

/** Most engine time goes to classes with long prompts and shorter answers. */
export const promptHeavyMix: Mix = {
    [TraceKind.Dossier]: 0.5,
    [TraceKind.QuickQuestion]: 0.1,
    [TraceKind.SeatPlan]: 0.3,
    [TraceKind.QuickReply]: 0.1,
};

/** Most engine time goes to classes whose answers are longer than their prompts. */
export const answerHeavyMix: Mix = {
    [TraceKind.Dossier]: 0.08,
    [TraceKind.QuickQuestion]: 0.35,
    [TraceKind.SeatPlan]: 0.12,
    [TraceKind.QuickReply]: 0.45,
};

/** Lengths vary by up to this share in both directions. */
const lengthVariation = 0.3;
const millisecondsPerSecond = 1000;

/** Creates the requests of a trace: Poisson arrivals with a mix that changes with the phases. */
export function createTrace(plan: TracePlan): TracedRequest[] {
    const random = createSeededRandom(plan.seed);
    const requests: TracedRequest[] = [];
    let now = 0;
    for (let number = 0;; number++) {
        const mix = findMix(plan.phases, now);
        now += drawExponential(random) * millisecondsPerSecond / computeArrivalRate(plan, mix);
        if (now >= plan.endsAt) {
            return requests;
        }
        requests.push(createRequest(drawClass(plan, mix, random), now, number, random));
    }
}

/** Creates phases of `phaseMilliseconds` each that cycle through the mixes. */
export function createAlternatingPhases(
    endsAt: number,
    phaseMilliseconds: number,
    mixes: readonly Mix[],
): TracePhase[] {
    const count = Math.ceil(endsAt / phaseMilliseconds);
    return Array.from({ length: count }, (unused, index) => ({
        startsAt: index * phaseMilliseconds,
        mix: mixes[index % mixes.length] ?? promptHeavyMix,
    }));
}

/** Creates the prompt of a traced request. Prompts of one group share a prefix, and no two prompts are equal. */
export function createPrompt(request: TracedRequest, charactersPerToken: number, seed: number): string {
    const { traceClass } = request;
    const sharedLength = traceClass.sharedTokens * charactersPerToken;
    const shared = repeatTo(`${traceClass.kind} guide ${request.group} of ${seed}. `, sharedLength);
    const own = `Case ${request.number} of ${seed}: `;
    const length = request.promptTokens * charactersPerToken;
    const marker = `<answer-tokens:${request.outputTokens}>`;
    return `${shared}${own}${
        repeatTo(`detail ${request.number} `, length - shared.length - own.length - marker.length)
    }${marker}`;
}

function findMix(phases: readonly TracePhase[], now: number): Mix {
    const phase = phases.findLast(candidate => candidate.startsAt <= now);
    return phase?.mix ?? promptHeavyMix;
}

/** Requests per second at which the engine time of all classes adds up to the offered engines. */
function computeArrivalRate(plan: TracePlan, mix: Mix): number {
    return sum(Object.values(TraceKind).map(kind => computeClassRate(plan, mix, kind)));
}

function computeClassRate(plan: TracePlan, mix: Mix, kind: TraceKind): number {
    return plan.offeredEngines * mix[kind] / plan.engineSeconds(traceClasses[kind]);
}

function drawClass(plan: TracePlan, mix: Mix, random: Random): TraceClass {
    let remaining = random.fraction() * computeArrivalRate(plan, mix);
    for (const kind of Object.values(TraceKind)) {
        remaining -= computeClassRate(plan, mix, kind);
        if (remaining < 0) {
            return traceClasses[kind];
        }
    }
    return traceClasses[TraceKind.QuickReply];
}

function createRequest(traceClass: TraceClass, arrivesAt: number, number: number, random: Random): TracedRequest {
    const vary = (tokens: number) => Math.round(tokens * (1 + lengthVariation * (2 * random.fraction() - 1)));
    return {
        traceClass,
        arrivesAt,
        number,
        group: random.integerBelow(traceClass.groups),
        promptTokens: traceClass.sharedTokens + vary(traceClass.promptTokens - traceClass.sharedTokens),
        outputTokens: vary(traceClass.outputTokens),
    };
}

function drawExponential(random: Random): number {
    return -Math.log(1 - random.fraction());
}

function repeatTo(text: string, length: number): string {
    return length <= 0 ? "" : text.repeat(Math.ceil(length / text.length)).slice(0, length);
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
