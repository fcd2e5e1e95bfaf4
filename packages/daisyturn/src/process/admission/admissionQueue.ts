import { Priority } from "../../ports/engine.js";
import { charactersPerToken } from "../../request/completion/promptBlocks.js";
import type { RoutingRequest } from "../routing/index.js";

/** A request that waits for admission. */
export interface WaitingRequest {
    readonly request: RoutingRequest;
    /** Estimated engine time in milliseconds. */
    readonly engineTime: number;
    /** Wall-clock time after which its first token would come too late. */
    readonly latestStart: number;
    /** Monotonic time. */
    readonly waitingSince: number;
    admit(): void;
}

/** Requests that engines can serve alike, in the order of their latest starts. */
export interface Lane {
    readonly partner: string;
    readonly priority: Priority;
    readonly model: string;
    readonly waiting: readonly WaitingRequest[];
}

/** What waits for admission in this process, bounded for each partner. */
export interface AdmissionQueue {
    /** Whether the partner's bounds leave room for the request. */
    hasRoom(request: RoutingRequest): boolean;
    add(waiting: WaitingRequest): void;
    remove(waiting: WaitingRequest): void;
    /** Lanes that have requests waiting, a partner's interactive ones before its bulk ones. */
    lanesOf(partner: string): readonly Lane[];
    partners(): readonly string[];
    all(): readonly WaitingRequest[];
    /**
     * Engine time that waits before a newcomer of the partner. In its own lane that is only what starts before it: counting all
     * would refuse long requests, which stand further ahead, for what stands behind them.
     * @param latestStart wall-clock time after which the newcomer's first token would come too late
     */
    engineTimeBefore(request: RoutingRequest, latestStart: number): number;
    engineTimeOf(partner: string): number;
    size(): number;
}

/** Bounds of what waits, for each partner. */
export interface AdmissionQueueBounds {
    readonly requests: number;
    readonly bytes: number;
}

export const defaultQueueBounds: AdmissionQueueBounds = { requests: 512, bytes: 32 * 1024 * 1024 };

interface PartnerSums {
    requests: number;
    bytes: number;
    engineTime: number;
}

interface OpenLane extends Lane {
    readonly waiting: WaitingRequest[];
}

/** Creates an empty queue. */
export function createAdmissionQueue(bounds: AdmissionQueueBounds): AdmissionQueue {
    const lanes = new Map<string, OpenLane>();
    const sums = new Map<string, PartnerSums>();

    const sumsOf = (partner: string) => {
        const known = sums.get(partner) ?? { requests: 0, bytes: 0, engineTime: 0 };
        sums.set(partner, known);
        return known;
    };

    const count = ({ request, engineTime }: WaitingRequest, sign: 1 | -1) => {
        const partner = sumsOf(request.partner);
        partner.requests += sign;
        partner.bytes += sign * bytesOf(request);
        partner.engineTime += sign * engineTime;
    };

    const add = (waiting: WaitingRequest) => {
        const { request } = waiting;
        const key = keyOf(request);
        const { partner, profile: { priority, model } } = request;
        const lane = lanes.get(key) ?? { partner, priority, model, waiting: [] };
        lanes.set(key, lane);
        const place = lane.waiting.findLastIndex(other => other.latestStart <= waiting.latestStart) + 1;
        lane.waiting.splice(place, 0, waiting);
        count(waiting, 1);
    };

    const remove = (waiting: WaitingRequest) => {
        const key = keyOf(waiting.request);
        const lane = lanes.get(key);
        const place = lane?.waiting.indexOf(waiting) ?? -1;
        if (!lane || place < 0) {
            return;
        }
        lane.waiting.splice(place, 1);
        count(waiting, -1);
        if (lane.waiting.length === 0) {
            lanes.delete(key);
        }
    };

    const lanesOf = (partner: string) =>
        [...lanes.values()]
            .filter(lane => lane.partner === partner)
            .sort((one, other) => rank(one.priority) - rank(other.priority));

    const engineTimeBefore = (request: RoutingRequest, latestStart: number) =>
        lanesOf(request.partner)
            .filter(lane => rank(lane.priority) <= rank(request.profile.priority))
            .flatMap(lane => lane === lanes.get(keyOf(request)) ? listUntil(lane, latestStart) : lane.waiting)
            .reduce((sum, other) => sum + other.engineTime, 0);

    return {
        hasRoom: request => {
            const partner = sumsOf(request.partner);
            return partner.requests < bounds.requests && partner.bytes + bytesOf(request) <= bounds.bytes;
        },
        add,
        remove,
        lanesOf,
        partners: () => [...new Set([...lanes.values()].map(lane => lane.partner))],
        all: () => [...lanes.values()].flatMap(lane => lane.waiting),
        engineTimeBefore,
        engineTimeOf: partner => sumsOf(partner).engineTime,
        size: () => [...sums.values()].reduce((sum, partner) => sum + partner.requests, 0),
    };
}

function listUntil({ waiting }: Lane, latestStart: number): readonly WaitingRequest[] {
    return waiting.filter(other => other.latestStart <= latestStart);
}

function keyOf({ partner, profile }: RoutingRequest): string {
    return [partner, profile.priority, profile.model, profile.adapter ?? ""].join("/");
}

function bytesOf(request: RoutingRequest): number {
    return request.promptTokens * charactersPerToken;
}

function rank(priority: Priority): number {
    return priority === Priority.Interactive ? 0 : 1;
}
