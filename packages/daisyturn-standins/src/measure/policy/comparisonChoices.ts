import { EngineChoice, findCheapest, type PlacementOption } from "daisyturn";
import type { Random } from "daisyturn-utils";

/** Always chooses the cheapest engine, so that processes with the same reports choose the same one. */
export class CheapestChoice extends EngineChoice {
    override choose(options: readonly PlacementOption[]): PlacementOption {
        return findCheapest(options);
    }
}

/**
 * Chooses the cheaper of two engines drawn at random.
 * Source: Mitzenmacher, "The power of two choices in randomized load balancing", IEEE TPDS 2001.
 */
export class TwoChoices extends EngineChoice {
    constructor(private readonly random: Random) {
        super();
    }

    override choose(options: readonly PlacementOption[]): PlacementOption {
        const [one, other] = [this.draw(options), this.draw(options)];
        return one.cost <= other.cost ? one : other;
    }

    private draw(options: readonly PlacementOption[]): PlacementOption {
        return options[this.random.integerBelow(options.length)]!;
    }
}

/** Chooses any engine; its probability falls exponentially with its extra cost over the cheapest, in milliseconds. */
export class ProportionalChoice extends EngineChoice {
    constructor(private readonly random: Random, private readonly scale: number) {
        super();
    }

    override choose(options: readonly PlacementOption[]): PlacementOption {
        const least = findCheapest(options).cost;
        const weights = options.map(option => Math.exp((least - option.cost) / this.scale));
        let left = this.random.fraction() * weights.reduce((sum, weight) => sum + weight, 0);
        for (const [index, weight] of weights.entries()) {
            left -= weight;
            if (left <= 0) {
                return options[index]!;
            }
        }
        return options.at(-1)!;
    }
}

/** Chooses any engine with equal probability. */
export class RandomChoice extends EngineChoice {
    constructor(private readonly random: Random) {
        super();
    }

    override choose(options: readonly PlacementOption[]): PlacementOption {
        return options[this.random.integerBelow(options.length)]!;
    }
}
