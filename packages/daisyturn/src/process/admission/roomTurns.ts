import { type Clock, hashTextTo32Bits, weightedRendezvous } from "daisyturn-utils";
import type { PartnerUse } from "./partnerUse.js";

/**
 * Who may fill an engine up at this moment. While work waits in several processes, each of them would see the same
 * engine get room and all would send it something before they hear of each other. So each engine is one process's and
 * one partner's for a short time, drawn by a hash that all processes compute alike, with chances by the partners'
 * weights and by how much waits where. That also divides the room fairly when a partner's work comes through few
 * processes.
 */
export interface RoomTurns {
    /** Whether the engine is the partner's and this process's. */
    isTurn(partner: string, engineId: string): boolean;
    /** Whether the engine is this process's among those in which the partner's work waits. */
    isTurnWithin(partner: string, engineId: string): boolean;
}

/** What {@link createRoomTurns} needs. */
export interface RoomTurnsOptions {
    readonly use: PartnerUse;
    readonly clock: Clock;
    readonly processId: string;
    readonly weightOf: (partner: string) => number;
}

/** Length of a turn. About as long as it takes to hear of what another process has sent; clocks may differ by less. */
const turnMilliseconds = 100;

/** A partner's chances are raised or lowered by at most this factor for what it has used. */
const mostBoost = 4;
/** Keeps ratios of very small uses near one; engine milliseconds a second. */
const smallestUse = 100;

interface Contender {
    readonly processId: string;
    readonly partner: string;
    readonly weight: number;
    readonly hash: number;
}

/** Creates the turns as one process sees them. */
export function createRoomTurns(options: RoomTurnsOptions): RoomTurns {
    const { use, clock, processId, weightOf } = options;
    let turn = -1;
    let contenders: Contender[] = [];
    const holders = new Map<string, Contender | undefined>();

    /** Each partner's weight is divided over the processes by what waits there. */
    const listContenders = (): Contender[] => {
        const waiting = use.listWaiting();
        const sums = new Map<string, number>();
        waiting.forEach(work => sums.set(work.partner, (sums.get(work.partner) ?? 0) + work.engineTime));
        const chances = computeChances([...sums.keys()]);
        return waiting.map(work => ({
            processId: work.processId,
            partner: work.partner,
            weight: chances.get(work.partner)! * work.engineTime / sums.get(work.partner)!,
            hash: hashTextTo32Bits(`${work.processId}/${work.partner}`),
        }));
    };

    /** Who lags behind the others gets more turns: work that comes through many processes overfills the engines more. */
    const computeChances = (partners: readonly string[]): Map<string, number> => {
        const level = (partner: string) => (use.used(partner) + smallestUse) / weightOf(partner);
        const mean = partners.reduce((sum, partner) => sum + level(partner), 0) / partners.length;
        const boost = (partner: string) => Math.min(mostBoost, Math.max(1 / mostBoost, (mean / level(partner)) ** 2));
        return new Map(partners.map(partner => [partner, weightOf(partner) * boost(partner)]));
    };

    const findHolder = (engineId: string, among: readonly Contender[]) => {
        const key = hashTextTo32Bits(`${engineId}/${turn}`);
        const score = (contender: Contender) => weightedRendezvous(key, contender.hash, contender.weight);
        return among.reduce<Contender | undefined>(
            (best, contender) => best && score(best) >= score(contender) ? best : contender,
            undefined,
        );
    };

    /** The holder is looked for once in each turn. */
    const holderOf = (key: string, engineId: string, among: () => readonly Contender[]) => {
        if (!holders.has(key)) {
            holders.set(key, findHolder(engineId, among()));
        }
        return holders.get(key);
    };

    const beginTurn = () => {
        const now = Math.floor(clock.wallNow() / turnMilliseconds);
        if (now !== turn) {
            turn = now;
            contenders = listContenders();
            holders.clear();
        }
    };

    const isTurn = (partner: string, engineId: string) => {
        beginTurn();
        const holder = holderOf(engineId, engineId, () => contenders);
        return holder === undefined || holder.processId === processId && holder.partner === partner;
    };

    const isTurnWithin = (partner: string, engineId: string) => {
        beginTurn();
        const ofPartner = () => contenders.filter(contender => contender.partner === partner);
        const holder = holderOf(`${partner}/${engineId}`, engineId, ofPartner);
        return holder === undefined || holder.processId === processId;
    };

    return { isTurn, isTurnWithin };
}
