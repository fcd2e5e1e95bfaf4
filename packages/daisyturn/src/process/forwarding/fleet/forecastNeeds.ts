import { countDecodeEnginesNeeded } from "../stages/planStage.js";

/** Work of each stage, in engines that it would keep fully busy. */
export interface StageWork {
    readonly prefill: number;
    readonly decode: number;
}

/** The work of a service at one time, or its mean over some time. */
export interface SampledWork extends StageWork {
    /**
     * The part of the prefill work that reads shared parts of prompts at engines that lack them. A surge of calls hardly
     * raises it, because each engine reads each part once while it is in use.
     */
    readonly firstReads: number;
}

/** What was measured of the work of one service. */
export interface MeasuredWork {
    /** Mean over a window that spans swings of the mix. */
    readonly mean: SampledWork;
    /** Mean over the last seconds, which shows a rise earlier. */
    readonly recent: StageWork;
    /** Prefill engines whose memory the shared parts of prompts in use would fill. */
    readonly cacheEngines: number;
}

/** Numbers of engines that a service needs. */
export interface EngineNeeds {
    /** Engines with which a surge is served until ordered engines serve. */
    readonly total: number;
    /** Engines that must remain if all reclaimable engines of a zone are taken away. */
    readonly afterLoss: number;
    /** Engines that each stage needs for the present work. */
    readonly stages: StageWork;
    /** Engines of each stage with which a swing of the mix is served until stages have changed. */
    readonly stageReserves: StageWork;
    /** The mean work. */
    readonly work: StageWork;
}

/**
 * Factor between the mean work and the engines that are kept. A surge doubles all work, and a swing of the mix raises
 * the work of one kind up to twofold; engines that are ordered then serve seconds later. An engine serves its callers by
 * their aims up to nine tenths of its capacity. With a factor of 2, one caller in 100 was late in drawn surges of 2.
 */
const surgeFactor = 2.2;
/** An engine serves its callers by their aims up to nine tenths of its capacity. */
const firstReadFactor = 1.1;
/** Spare capacity over the work of the last seconds, for arrivals that bunch. */
const recentFactor = 1.3;
/** Spare capacity over the mean work after a loss, and of one stage while engines are given back. */
const lossFactor = 1.3;
/**
 * Engines of a stage that should remain when others are given back, over its mean work: a swing of the mix raises the work
 * of one stage up to twofold, and a change of stage takes seconds. Where the platform starts new engines all in one stage,
 * a factor of 1.3 left up to 0.07 of the other stage's work without engines in drawn swings.
 */
const stageFactor = 1.8;
/** Two decode engines and one prefill engine: the least at which one engine of each stage may be lost or changed. */
const minEngines = 3;

/** Forecasts the engines that serve the measured work with a margin for surges. */
export function forecastNeeds({ mean, recent, cacheEngines }: MeasuredWork): EngineNeeds {
    const scalePrefill = (factor: number) =>
        Math.max(0, mean.prefill - mean.firstReads) * factor + mean.firstReads * firstReadFactor;
    const prefill = Math.max(scalePrefill(surgeFactor), cacheEngines);
    const decode = mean.decode * surgeFactor;
    const forStages = Math.max(minEngines, Math.ceil(Math.max(prefill + decode, sumWork(recent) * recentFactor)));
    return {
        total: addMinDecoders(forStages, Math.ceil(prefill)),
        afterLoss: Math.max(minEngines, Math.ceil(scalePrefill(lossFactor) + mean.decode * lossFactor)),
        work: mean,
        stages: { prefill: Math.max(1, scalePrefill(lossFactor)), decode: Math.max(2, mean.decode * lossFactor) },
        stageReserves: { prefill: scalePrefill(stageFactor), decode: mean.decode * stageFactor },
    };
}

/** Raises the number until the minimum of decode engines among it leaves enough for prefill. */
function addMinDecoders(engines: number, prefill: number): number {
    let total = engines;
    while (total - countDecodeEnginesNeeded(total) < prefill) {
        total += 1;
    }
    return total;
}

export function sumWork({ prefill, decode }: StageWork): number {
    return prefill + decode;
}
