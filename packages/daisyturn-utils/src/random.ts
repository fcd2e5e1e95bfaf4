import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers. It is always injected, so that a run can be reproduced from its seed. */
export abstract class Random {
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    abstract fraction(): number;
    /** Returns an integer from 0 to `limit - 1`. */
    abstract integerBelow(limit: number): number;
}

/** Creates a generator that produces the same sequence for the same seed (a 32-bit integer). */
export function createSeededRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    class SeededRandom extends Random {
        override fraction(): number {
            return uniformFloat64(generator);
        }

        override integerBelow(limit: number): number {
            return uniformInt(generator, 0, limit - 1);
        }
    }
    return new SeededRandom();
}
