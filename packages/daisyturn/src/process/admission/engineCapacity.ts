import type { ConfigurationManager } from "../configuration/index.js";
import type { LoadView } from "../load/index.js";
import type { PlacementOption, PlanningRouter, RoutingRequest } from "../routing/index.js";
import type { EngineTurns } from "./engineTurns.js";
import { computeFairShares } from "./fairShares.js";
import type { PartnerUsage } from "./partnerUsage.js";

/** Estimate for a request under the current load. */
export interface CapacityAssessment {
    /** Estimated engine time of the request in milliseconds. */
    readonly engineTime: number;
    /** Milliseconds until the first token if the request were sent now. */
    readonly firstToken: number;
    /** Milliseconds of `firstToken` that are the request's own prefill. */
    readonly ownPrefill: number;
}

/**
 * Determines whether engines have free capacity. The queues of the engines are kept short, so that the order of
 * requests is determined here by fair shares.
 */
export interface EngineCapacity {
    /** Undefined if no open engine can serve the request. */
    assess(request: RoutingRequest): CapacityAssessment | undefined;
    /**
     * Reserves an engine on which the request would start soon and would cause no limits to be missed. Undefined if
     * there is none.
     */
    reserve(request: RoutingRequest): CapacityAssessment | undefined;
    /** Estimates the engine time, in milliseconds per second, at which this process will admit the partner's queue. */
    estimateAdmissionRate(partner: string): number;
}

/** What {@link createEngineCapacity} needs. */
export interface EngineCapacityOptions {
    readonly loadView: LoadView;
    readonly router: PlanningRouter;
    readonly configurationManager: ConfigurationManager;
    readonly partnerUsage: PartnerUsage;
    readonly turns: EngineTurns;
}

/** Fraction of its first-token limit that a request may wait at its engine for the prefill of other requests. */
const ordinaryWaitFraction = 0.2;
/** The same for partners below their fair share. The difference is reserved for them. */
const reservedWaitFraction = 0.3;
/** Lower bound of the permitted wait: engines must not run idle between two passes over the queue. */
const minWaitMilliseconds = 100;
/** Upper bound of the permitted wait. */
const maxWaitMilliseconds = 1_000;
/** Fraction of an engine's KV cache that partners above their fair share may fill. */
const ordinaryMemoryFraction = 0.85;
const millisecondsPerSecond = 1_000;
/** A fully used engine is assumed to provide at least this fraction of its time. */
const minUtilization = 0.6;
/** Fraction of the capacity that is divided by weight; the rest is available to any partner. */
const sharedFraction = 0.98;
/** An engine with fewer streams is not fully used; decode time is charged as if at least this many streams ran. */
const minChargedBatch = 8;

/** Creates the capacity check of one process. */
export function createEngineCapacity(options: EngineCapacityOptions): EngineCapacity {
    const { loadView, router, configurationManager, partnerUsage, turns } = options;

    /** Estimates the engine time per second of all engines from their recent usage. */
    const estimateCapacity = () => {
        const used = partnerUsage.partners().reduce((sum, partner) => sum + partnerUsage.usageRate(partner), 0);
        return Math.max(used, loadView.loads().length * millisecondsPerSecond * minUtilization);
    };

    const computeShareOf = (partner: string) => {
        const partners = [...new Set([...partnerUsage.partners(), partner])];
        const claims = partners.map(other => ({
            weight: configurationManager.current().shareWeight(other),
            demand: partnerUsage.isWaiting(other) || other === partner ? Infinity : partnerUsage.usageRate(other),
        }));
        return computeFairShares(sharedFraction * estimateCapacity(), claims)[partners.indexOf(partner)]!;
    };

    const isAboveShare = (partner: string) => partnerUsage.usageRate(partner) > computeShareOf(partner);

    /** Creates the check that an option must pass; its limits are computed once for all options of a request. */
    const createCapacityCheck = (request: RoutingRequest) => {
        const isAbove = isAboveShare(request.partner);
        const { firstTokenLimitMilliseconds, betweenTokensLimitMilliseconds } = request.profile;
        const gapLimitOfOthers = isAbove ? partnerUsage.strictestGapOfOthers(request.partner) : Infinity;
        const gapLimit = Math.min(betweenTokensLimitMilliseconds, gapLimitOfOthers);
        const waitFraction = isAbove ? ordinaryWaitFraction : reservedWaitFraction;
        const waitLimit = clamp(waitFraction * firstTokenLimitMilliseconds, minWaitMilliseconds, maxWaitMilliseconds);
        const memoryFraction = isAbove ? ordinaryMemoryFraction : 1;
        const requiredKvTokens = request.promptTokens + request.expectedOutputTokens;
        const anticipatedWait = loadView.estimateUnpublishedPeerWait();
        return (option: PlacementOption) => {
            const load = option.decode;
            const isIdle = load.streams() === 0;
            const hasMemory = load.kvCapacity() <= 0
                || load.kvTokens() + requiredKvTokens <= load.kvCapacity() * memoryFraction;
            const wait = option.wait + anticipatedWait;
            const hasTurn = isAbove ? turns.hasTurn : turns.hasTurnWithinPartner;
            const mayFill = wait <= minWaitMilliseconds || hasTurn(request.partner, load.engineId);
            return wait <= waitLimit && mayFill && (isIdle || hasMemory && option.betweenTokens <= gapLimit);
        };
    };

    const assessOption = (request: RoutingRequest, option: PlacementOption): CapacityAssessment => {
        const ownPrefill = option.firstToken * option.prefillFraction;
        return {
            engineTime: ownPrefill + estimateDecodeTime(request, option),
            firstToken: option.firstToken + loadView.estimateUnpublishedPeerWait(),
            ownPrefill,
        };
    };

    const assess = (request: RoutingRequest) => {
        const option = router.findCheapestOption(request);
        return option && assessOption(request, option);
    };

    const reserve = (request: RoutingRequest) => {
        const option = router.reserve(request, createCapacityCheck(request));
        return option && assessOption(request, option);
    };

    /** Fraction of a partner's usage that comes through this process. */
    const computeLocalFraction = (partner: string) => {
        const total = partnerUsage.usageRate(partner);
        return total > 0 ? partnerUsage.localUsageRate(partner) / total : 1 / Math.max(1, loadView.countProcesses());
    };

    /**
     * A partner below its share is admitted first, so it can use the whole rate at which this process admits. Other
     * partners get at least the local fraction of their share.
     */
    const estimateAdmissionRate = (partner: string) => {
        const total = partnerUsage.partners().reduce((sum, other) => sum + partnerUsage.localUsageRate(other), 0);
        const guaranteed = computeShareOf(partner) * computeLocalFraction(partner);
        return Math.max(isAboveShare(partner) ? partnerUsage.localUsageRate(partner) : total, guaranteed, 1);
    };

    return { assess, reserve, estimateAdmissionRate };
}

/** A decode step serves all streams of the batch, so each stream is charged an equal fraction of its steps. */
function estimateDecodeTime(request: RoutingRequest, option: PlacementOption): number {
    const streams = Math.max(minChargedBatch, option.decode.streams() + 1);
    return request.expectedOutputTokens * option.decode.rates.betweenTokens(streams) / streams;
}

function clamp(value: number, low: number, high: number): number {
    return Math.min(high, Math.max(low, value));
}
