import type { ConfigurationManager } from "../configuration/index.js";
import type { LoadView } from "../load/index.js";
import type { PlacementOption, PlanningRouter, RoutingRequest } from "../routing/index.js";
import { computeFairShares } from "./fairShares.js";
import type { PartnerUse } from "./partnerUse.js";
import type { RoomTurns } from "./roomTurns.js";

/** What is known of a request's chances now. */
export interface RoomAssessment {
    /** Estimated engine time of the request in milliseconds. */
    readonly engineTime: number;
    /** Milliseconds until its first token, if it were sent now. */
    readonly firstToken: number;
    /** The part of them that is its own prefill. */
    readonly ownPrefill: number;
}

/** Tells whether engines have room. Engines' own queues are kept short, so that the fair order is made here. */
export interface EngineRoom {
    /** Undefined if no open engine can serve the request. */
    assess(request: RoutingRequest): RoomAssessment | undefined;
    /** Reserves a place where the request would begin soon and nobody's limits would be missed by it. */
    reserve(request: RoutingRequest): RoomAssessment | undefined;
    /** Engine time a second with which the partner's requests waiting here will probably be let in. */
    drainRate(partner: string): number;
}

/** What {@link createEngineRoom} needs. */
export interface EngineRoomOptions {
    readonly loadView: LoadView;
    readonly router: PlanningRouter;
    readonly configurationManager: ConfigurationManager;
    readonly use: PartnerUse;
    readonly turns: RoomTurns;
}

/** Part of its first-token limit that a request may have to wait at its engine for others' prefill. */
const ordinaryWait = 0.2;
/** The same for a partner that is below its fair share: others' work never takes this room. */
const reservedWait = 0.3;
/** Neither is less than this or more than that, in milliseconds: engines must not run dry between two looks. */
const leastWait = 100;
const mostWait = 1_000;
/** Part of an engine's KV cache that partners above their fair share may fill. */
const ordinaryMemory = 0.85;
const millisecondsPerSecond = 1_000;
/** An engine is expected to give at least this part of its time while it is used to the full. */
const leastUsefulTime = 0.6;
/** Part of the capacity that is shared out by weight; the rest goes to whoever comes. */
const sharedOut = 0.98;
/** Fewer streams than this don't use an engine to the full; work is charged as if that many ran. */
const chargedBatch = 8;

/** Creates the view of the room. */
export function createEngineRoom(options: EngineRoomOptions): EngineRoom {
    const { loadView, router, configurationManager, use, turns } = options;

    /** Engine time a second that the engines give, by what they gave lately. */
    const capacity = () => {
        const used = use.partners().reduce((sum, partner) => sum + use.used(partner), 0);
        return Math.max(used, loadView.loads().length * millisecondsPerSecond * leastUsefulTime);
    };

    const fairShareOf = (partner: string) => {
        const partners = [...new Set([...use.partners(), partner])];
        const claims = partners.map(other => ({
            weight: configurationManager.current().shareWeight(other),
            demand: use.isWaiting(other) || other === partner ? Infinity : use.used(other),
        }));
        return computeFairShares(sharedOut * capacity(), claims)[partners.indexOf(partner)]!;
    };

    const isAboveShare = (partner: string) => use.used(partner) > fairShareOf(partner);

    /** The test that a way must pass, worked out once for all ways of a request. */
    const createRoomTest = (request: RoutingRequest) => {
        const isAbove = isAboveShare(request.partner);
        const { firstTokenLimitMilliseconds, betweenTokensLimitMilliseconds } = request.profile;
        const othersGap = isAbove ? use.strictestGapOfOthers(request.partner) : Infinity;
        const gapLimit = Math.min(betweenTokensLimitMilliseconds, othersGap);
        const waitPart = isAbove ? ordinaryWait : reservedWait;
        const waitLimit = clamp(waitPart * firstTokenLimitMilliseconds, leastWait, mostWait);
        const memoryPart = isAbove ? ordinaryMemory : 1;
        const kvNeed = request.promptTokens + request.expectedOutputTokens;
        const unseen = loadView.estimateUnpublishedPeerWait();
        return (way: PlacementOption) => {
            const load = way.decode;
            const isIdle = load.streams() === 0;
            const hasMemory = load.kvCapacity() <= 0 || load.kvTokens() + kvNeed <= load.kvCapacity() * memoryPart;
            const wait = way.wait + unseen;
            const hasTurn = isAbove ? turns.isTurn : turns.isTurnWithin;
            const mayFill = wait <= leastWait || hasTurn(request.partner, load.engineId);
            return wait <= waitLimit && mayFill && (isIdle || hasMemory && way.betweenTokens <= gapLimit);
        };
    };

    const assessWay = (request: RoutingRequest, way: PlacementOption): RoomAssessment => {
        const ownPrefill = way.firstToken * way.certainty;
        return {
            engineTime: ownPrefill + decodeTime(request, way),
            firstToken: way.firstToken + loadView.estimateUnpublishedPeerWait(),
            ownPrefill,
        };
    };

    const assess = (request: RoutingRequest) => {
        const way = router.findCheapestOption(request);
        return way && assessWay(request, way);
    };

    const reserve = (request: RoutingRequest) => {
        const way = router.reserve(request, createRoomTest(request));
        return way && assessWay(request, way);
    };

    /** The part of a partner's work that comes through this process. */
    const partHere = (partner: string) => {
        const all = use.used(partner);
        return all > 0 ? use.usedHere(partner) / all : 1 / Math.max(1, loadView.countProcesses());
    };

    /**
     * A partner below its share is let in first, with all that this process lets in; others get at least their part
     * of their share.
     */
    const drainRate = (partner: string) => {
        const all = use.partners().reduce((sum, other) => sum + use.usedHere(other), 0);
        const sure = fairShareOf(partner) * partHere(partner);
        return Math.max(isAboveShare(partner) ? use.usedHere(partner) : all, sure, 1);
    };

    return { assess, reserve, drainRate };
}

/** Each step of the batch serves all its streams; a stream is charged its part of the steps it takes part in. */
function decodeTime(request: RoutingRequest, option: PlacementOption): number {
    const streams = Math.max(chargedBatch, option.decode.streams() + 1);
    return request.expectedOutputTokens * option.decode.rates.betweenTokens(streams) / streams;
}

function clamp(value: number, low: number, high: number): number {
    return Math.min(high, Math.max(low, value));
}
