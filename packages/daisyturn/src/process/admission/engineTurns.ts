import { type Clock, hashTextTo32Bits, weightedRendezvous } from "daisyturn-utils";
import type { PartnerUsage } from "./partnerUsage.js";

/**
 * Assigns each engine to one process and one partner for a short turn. While work waits in several processes, all of
 * them would otherwise see free capacity on the same engine and send requests before they receive each other's reports.
 * The assignment is drawn by weighted rendezvous hashing, which all processes compute identically. Probabilities depend
 * on the weights of the partners and on where their work waits. This also divides the capacity fairly if a partner's
 * work comes through few processes.
 */
export interface EngineTurns {
    /** Whether the engine is assigned to the partner and this process. True if no work waits. */
    hasTurn(partner: string, engineId: string): boolean;
    /** Whether the engine is assigned to this process among the processes in which work of the partner waits. */
    hasTurnWithinPartner(partner: string, engineId: string): boolean;
}

/** What {@link createEngineTurns} needs. */
export interface EngineTurnsOptions {
    readonly partnerUsage: PartnerUsage;
    readonly clock: Clock;
    readonly processId: string;
    readonly weightOf: (partner: string) => number;
}

/** Length of a turn: about the delay of reports between processes. Clocks must differ by less. */
const turnMilliseconds = 100;

/** Maximum factor by which a partner's recent usage raises or lowers its probability. */
const maxBoost = 4;
/** Added to usage rates, so that ratios of very small rates stay near 1; engine milliseconds per second. */
const usageRateOffset = 100;

interface Contender {
    readonly processId: string;
    readonly partner: string;
    readonly weight: number;
    readonly hash: number;
}

/** Creates the turns as computed by one process. */
export function createEngineTurns(options: EngineTurnsOptions): EngineTurns {
    const { partnerUsage, clock, processId, weightOf } = options;
    let turn = -1;
    let contenders: Contender[] = [];
    const holders = new Map<string, Contender | undefined>();

    /** Divides each partner's weight over the processes in proportion to the work that waits there. */
    const listContenders = (): Contender[] => {
        const waiting = partnerUsage.listWaiting();
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

    /**
     * Gives partners with below-average usage by weight a higher probability, because work that comes through many
     * processes overfills the engines more.
     */
    const computeChances = (partners: readonly string[]): Map<string, number> => {
        const usageLevel = (partner: string) => (partnerUsage.usageRate(partner) + usageRateOffset) / weightOf(partner);
        const mean = partners.reduce((sum, partner) => sum + usageLevel(partner), 0) / partners.length;
        const boost = (partner: string) =>
            Math.min(maxBoost, Math.max(1 / maxBoost, (mean / usageLevel(partner)) ** 2));
        return new Map(partners.map(partner => [partner, weightOf(partner) * boost(partner)]));
    };

    const chooseHolder = (engineId: string, among: readonly Contender[]) => {
        const key = hashTextTo32Bits(`${engineId}/${turn}`);
        const score = (contender: Contender) => weightedRendezvous(key, contender.hash, contender.weight);
        return among.reduce<Contender | undefined>(
            (best, contender) => best && score(best) >= score(contender) ? best : contender,
            undefined,
        );
    };

    /** Returns the holder, which is computed once in each turn. */
    const holderOf = (key: string, engineId: string, among: () => readonly Contender[]) => {
        if (!holders.has(key)) {
            holders.set(key, chooseHolder(engineId, among()));
        }
        return holders.get(key);
    };

    const updateTurn = () => {
        const now = Math.floor(clock.wallNow() / turnMilliseconds);
        if (now !== turn) {
            turn = now;
            contenders = listContenders();
            holders.clear();
        }
    };

    const hasTurn = (partner: string, engineId: string) => {
        updateTurn();
        const holder = holderOf(engineId, engineId, () => contenders);
        return holder === undefined || holder.processId === processId && holder.partner === partner;
    };

    const hasTurnWithinPartner = (partner: string, engineId: string) => {
        updateTurn();
        const ofPartner = () => contenders.filter(contender => contender.partner === partner);
        const holder = holderOf(`${partner}/${engineId}`, engineId, ofPartner);
        return holder === undefined || holder.processId === processId;
    };

    return { hasTurn, hasTurnWithinPartner };
}
