import { hashTextTo32Bits, type Random, rendezvousWeight } from "daisyturn-utils";
import type { PlacementOption } from "./placementCost.js";
import { tokensPerBlock } from "./placementCost.js";
import type { RoutingRequest } from "./router.js";

/** What a choice takes into account beside the options. */
export interface ChoiceContext {
    readonly request: RoutingRequest;
    /** How many of the prompt's first blocks some engine is thought to hold. */
    readonly knownBlocks: number;
    /** Processes that choose on the same reports, this one included. */
    readonly processes: number;
}

/** Picks one of the options that a request has. */
export abstract class EngineChoice {
    /** @param options at least one */
    abstract choose(options: readonly PlacementOption[], context: ChoiceContext): PlacementOption;
}

/** Options drawn of each kind at least. */
const leastDraws = 2;
/** An engine that would become the home of a prefix may cost this part of the prefix's prefill more. */
const homeFraction = 0.5;

/**
 * Takes the cheapest of some options drawn at random. Processes with the same late reports would otherwise all choose
 * the same engine; the more processes there are, the fewer each draws, and one alone looks at all.
 * Options are drawn apart by whether the engine holds most of the prompt in its cache, and by whether prefill and
 * decode are apart, so that rare good kinds are always looked at.
 * A prefix that is shared but cached nowhere goes to its home, the first of the affordable engines in rendezvous
 * order, so that the processes agree on where to build it up.
 * Source: Mitzenmacher, "The power of two choices in randomized load balancing", IEEE TPDS 2001.
 */
export class SampledChoice extends EngineChoice {
    private readonly memberHashes = new Map<string, number>();

    constructor(private readonly random: Random) {
        super();
    }

    override choose(options: readonly PlacementOption[], context: ChoiceContext): PlacementOption {
        const { promptBlocks } = context.request;
        const best = this.chooseSampled(options, context.processes);
        const keyBlocks = Math.max(1, context.knownBlocks);
        if (promptBlocks.length === 0 || best.matchedBlocks >= keyBlocks) {
            return best;
        }
        const limit = best.cost + homeFraction * prefillTime(best, keyBlocks);
        return this.chooseHome(options.filter(option => option.cost <= limit), promptBlocks[keyBlocks - 1]!);
    }

    private chooseSampled(options: readonly PlacementOption[], processes: number): PlacementOption {
        const most = options.reduce((depth, option) => Math.max(depth, option.matchedBlocks), 0);
        const kinds: PlacementOption[][] = [[], [], [], []];
        for (const option of options) {
            kinds[(option.matchedBlocks === most ? 0 : 1) + (option.prefill ? 2 : 0)]!.push(option);
        }
        return findCheapest(kinds.flatMap(kind => this.draw(kind, processes)));
    }

    private draw(options: readonly PlacementOption[], processes: number): readonly PlacementOption[] {
        const draws = Math.max(leastDraws, Math.ceil(options.length / processes));
        if (options.length <= draws) {
            return options;
        }
        return [...Array(draws)].map(() => options[this.random.integerBelow(options.length)]!);
    }

    private chooseHome(options: readonly PlacementOption[], key: string): PlacementOption {
        const keyHash = hashTextTo32Bits(key);
        const weight = (option: PlacementOption) => rendezvousWeight(keyHash, this.memberHash(option));
        return options.reduce((best, option) => weight(option) > weight(best) ? option : best);
    }

    /** The engine that keeps the prefix is the one that prefills. */
    private memberHash(option: PlacementOption): number {
        const engineId = (option.prefill ?? option.decode).engineId;
        const known = this.memberHashes.get(engineId) ?? hashTextTo32Bits(engineId);
        this.memberHashes.set(engineId, known);
        return known;
    }
}

/** The option with the least cost; the first of equals. */
export function findCheapest(options: readonly PlacementOption[]): PlacementOption {
    return options.reduce((best, option) => option.cost < best.cost ? option : best);
}

function prefillTime(option: PlacementOption, blocks: number): number {
    const load = option.prefill ?? option.decode;
    return blocks * tokensPerBlock / load.prefillPerMillisecond();
}
