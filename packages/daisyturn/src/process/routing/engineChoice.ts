import { hashTextTo32Bits, type Random, rendezvousWeight } from "daisyturn-utils";
import type { PlacementOption } from "./placementCost.js";
import { tokensPerBlock } from "./placementCost.js";
import type { RoutingRequest } from "./router.js";

/** Input of a choice in addition to the options. */
export interface ChoiceContext {
    readonly request: RoutingRequest;
    /** Number of leading prompt blocks that are estimated to be cached on at least one engine. */
    readonly knownBlocks: number;
    /** Number of processes that choose from the same reports, including this one. */
    readonly processes: number;
}

/** Strategy for choosing one of the options for a request. */
export abstract class EngineChoice {
    /** @param options at least one */
    abstract choose(options: readonly PlacementOption[], context: ChoiceContext): PlacementOption;
}

/** Minimum number of options drawn from each kind. */
const minDraws = 2;
/** The preferred engine of a prefix may cost more than the best option by this fraction of the prefix's prefill. */
const extraPrefillFraction = 0.5;

/**
 * Chooses the cheapest of several options drawn at random. Processes with the same outdated reports would otherwise all
 * choose the same engine. The more processes there are, the fewer options each draws; a single process considers all.
 * Options are drawn separately by whether the engine has the longest cached prefix, and by whether prefill and decode
 * run on two engines, so that rare good kinds are always considered.
 * A shared prefix that the cheapest engine has not cached goes to its preferred engine: the first one in rendezvous
 * order among those whose cost is acceptable. The processes thus agree on where to build up its cache.
 * Source: Mitzenmacher, "The power of two choices in randomized load balancing", IEEE TPDS 2001.
 */
export class SampledChoice extends EngineChoice {
    private readonly engineHashes = new Map<string, number>();

    constructor(private readonly random: Random) {
        super();
    }

    override choose(options: readonly PlacementOption[], context: ChoiceContext): PlacementOption {
        const { promptBlocks } = context.request;
        const best = this.chooseSampled(options, context.processes);
        const prefixBlocks = Math.max(1, context.knownBlocks);
        if (promptBlocks.length === 0 || best.matchedBlocks >= prefixBlocks) {
            return best;
        }
        const limit = best.cost + extraPrefillFraction * estimatePrefillTime(best, prefixBlocks);
        return this.choosePreferred(options.filter(option => option.cost <= limit), promptBlocks[prefixBlocks - 1]!);
    }

    private chooseSampled(options: readonly PlacementOption[], processes: number): PlacementOption {
        const maxMatched = options.reduce((depth, option) => Math.max(depth, option.matchedBlocks), 0);
        const kinds: PlacementOption[][] = [[], [], [], []];
        for (const option of options) {
            kinds[(option.matchedBlocks === maxMatched ? 0 : 1) + (option.prefill ? 2 : 0)]!.push(option);
        }
        return findCheapest(kinds.flatMap(kind => this.draw(kind, processes)));
    }

    private draw(options: readonly PlacementOption[], processes: number): readonly PlacementOption[] {
        const draws = Math.max(minDraws, Math.ceil(options.length / processes));
        if (options.length <= draws) {
            return options;
        }
        return [...Array(draws)].map(() => options[this.random.integerBelow(options.length)]!);
    }

    private choosePreferred(options: readonly PlacementOption[], key: string): PlacementOption {
        const keyHash = hashTextTo32Bits(key);
        const weight = (option: PlacementOption) => rendezvousWeight(keyHash, this.hashEngine(option));
        return options.reduce((best, option) => weight(option) > weight(best) ? option : best);
    }

    /** Hashes the id of the prefill engine, because that engine caches the prefix. */
    private hashEngine(option: PlacementOption): number {
        const engineId = (option.prefill ?? option.decode).engineId;
        const known = this.engineHashes.get(engineId) ?? hashTextTo32Bits(engineId);
        this.engineHashes.set(engineId, known);
        return known;
    }
}

/** Returns the option with the lowest cost, the first one if several are equal. */
export function findCheapest(options: readonly PlacementOption[]): PlacementOption {
    return options.reduce((best, option) => option.cost < best.cost ? option : best);
}

function estimatePrefillTime(option: PlacementOption, blocks: number): number {
    const load = option.prefill ?? option.decode;
    return blocks * tokensPerBlock / load.prefillPerMillisecond();
}
