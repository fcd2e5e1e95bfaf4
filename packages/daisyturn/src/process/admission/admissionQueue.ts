import { Priority } from "../../ports/engine.js";
import { charactersPerToken } from "../../request/completion/promptBlocks.js";
import type { RoutingRequest } from "../routing/index.js";

/** A request that waits for admission. */
export interface WaitingRequest {
    readonly request: RoutingRequest;
    /** Estimated engine time in milliseconds. */
    readonly engineTime: number;
    /** Wall-clock time after which a start would miss the deadline of the first token. */
    readonly latestStart: number;
    /** Monotonic time. */
    readonly enqueuedAt: number;
    admit(): void;
}

/** Requests of one partner, priority, model and adapter, ordered by latest start. */
export interface Lane {
    readonly partner: string;
    readonly priority: Priority;
    readonly model: string;
    readonly waiting: readonly WaitingRequest[];
}

/** Requests that wait for admission in this process, bounded for each partner. */
export interface AdmissionQueue {
    /** Whether the request fits within the partner's bounds. */
    hasCapacity(request: RoutingRequest): boolean;
    add(waiting: WaitingRequest): void;
    remove(waiting: WaitingRequest): void;
    /** Non-empty lanes of the partner, interactive ones before bulk ones. */
    lanesOf(partner: string): readonly Lane[];
    partners(): readonly string[];
    all(): readonly WaitingRequest[];
    /**
     * Total engine time of the requests that are queued ahead of a new request of the partner. In the new request's
     * lane, only requests with the same or an earlier latest start count: if all counted, a long request, which is
     * queued further ahead, would be refused because of requests behind it.
     * @param latestStart wall-clock time after which the new request would miss the deadline of its first token
     */
    engineTimeAhead(request: RoutingRequest, latestStart: number): number;
    engineTimeOf(partner: string): number;
    size(): number;
}

/** Limits of the queue for each partner. */
export interface AdmissionQueueBounds {
    readonly requests: number;
    readonly bytes: number;
}

export const defaultQueueBounds: AdmissionQueueBounds = { requests: 512, bytes: 32 * 1024 * 1024 };

interface PartnerTotals {
    requests: number;
    bytes: number;
    engineTime: number;
}

interface MutableLane extends Lane {
    readonly waiting: WaitingRequest[];
}

/** Creates an empty queue. */
export function createAdmissionQueue(bounds: AdmissionQueueBounds): AdmissionQueue {
    const lanes = new Map<string, MutableLane>();
    const totals = new Map<string, PartnerTotals>();

    const totalsOf = (partner: string) => {
        const known = totals.get(partner) ?? { requests: 0, bytes: 0, engineTime: 0 };
        totals.set(partner, known);
        return known;
    };

    const updateTotals = ({ request, engineTime }: WaitingRequest, sign: 1 | -1) => {
        const partner = totalsOf(request.partner);
        partner.requests += sign;
        partner.bytes += sign * estimateBytes(request);
        partner.engineTime += sign * engineTime;
    };

    const add = (waiting: WaitingRequest) => {
        const { request } = waiting;
        const key = getLaneKey(request);
        const { partner, profile: { priority, model } } = request;
        const lane = lanes.get(key) ?? { partner, priority, model, waiting: [] };
        lanes.set(key, lane);
        const index = lane.waiting.findLastIndex(other => other.latestStart <= waiting.latestStart) + 1;
        lane.waiting.splice(index, 0, waiting);
        updateTotals(waiting, 1);
    };

    const remove = (waiting: WaitingRequest) => {
        const key = getLaneKey(waiting.request);
        const lane = lanes.get(key);
        const index = lane?.waiting.indexOf(waiting) ?? -1;
        if (!lane || index < 0) {
            return;
        }
        lane.waiting.splice(index, 1);
        updateTotals(waiting, -1);
        if (lane.waiting.length === 0) {
            lanes.delete(key);
        }
    };

    const lanesOf = (partner: string) =>
        [...lanes.values()]
            .filter(lane => lane.partner === partner)
            .sort((one, other) => rankPriority(one.priority) - rankPriority(other.priority));

    const engineTimeAhead = (request: RoutingRequest, latestStart: number) =>
        lanesOf(request.partner)
            .filter(lane => rankPriority(lane.priority) <= rankPriority(request.profile.priority))
            .flatMap(lane => lane === lanes.get(getLaneKey(request)) ? listUntil(lane, latestStart) : lane.waiting)
            .reduce((sum, other) => sum + other.engineTime, 0);

    return {
        hasCapacity: request => {
            const partner = totalsOf(request.partner);
            return partner.requests < bounds.requests && partner.bytes + estimateBytes(request) <= bounds.bytes;
        },
        add,
        remove,
        lanesOf,
        partners: () => [...new Set([...lanes.values()].map(lane => lane.partner))],
        all: () => [...lanes.values()].flatMap(lane => lane.waiting),
        engineTimeAhead,
        engineTimeOf: partner => totalsOf(partner).engineTime,
        size: () => [...totals.values()].reduce((sum, partner) => sum + partner.requests, 0),
    };
}

function listUntil({ waiting }: Lane, latestStart: number): readonly WaitingRequest[] {
    return waiting.filter(other => other.latestStart <= latestStart);
}

function getLaneKey({ partner, profile }: RoutingRequest): string {
    return [partner, profile.priority, profile.model, profile.adapter ?? ""].join("/");
}

function estimateBytes(request: RoutingRequest): number {
    return request.promptTokens * charactersPerToken;
}

function rankPriority(priority: Priority): number {
    return priority === Priority.Interactive ? 0 : 1;
}
