/** A line fitted to points whose weight decays, and to prior points whose weight does not. */
export interface LineFit {
    add(x: number, y: number, weight: number): void;
    /** Multiplies the weight of all added points by `factor`. */
    decay(factor: number): void;
    /** Replaces the prior points. */
    setPrior(prior: LinePrior): void;
    /** Value of the line at `x`. */
    at(x: number): number;
}

/** Points whose weight does not decay. `weight` is the weight of each of them. */
export interface LinePrior {
    readonly points: readonly (readonly [x: number, y: number])[];
    readonly weight: number;
}

interface Sums {
    weight: number;
    x: number;
    squares: number;
    y: number;
    products: number;
}

/** Factor of decay of the earlier points for each added point of weight 1. */
const decayPerPoint = 0.95;

/** Creates a least-squares fit. The slope is never negative, because more work never makes an engine faster. */
export function createLineFit(initial: LinePrior): LineFit {
    let prior = initial;
    let evidence: Sums = { weight: 0, x: 0, squares: 0, y: 0, products: 0 };
    let intercept = 0;
    let slope = 0;

    const solve = () => {
        const sums = { ...evidence };
        prior.points.forEach(([x, y]) => addTo(sums, x, y, prior.weight));
        const spread = sums.weight * sums.squares - sums.x * sums.x;
        slope = Math.max(0, (sums.weight * sums.products - sums.x * sums.y) / spread);
        intercept = Math.max(0, (sums.y - slope * sums.x) / sums.weight);
    };

    const decay = (factor: number) => {
        const { weight, x, squares, y, products } = evidence;
        evidence = {
            weight: weight * factor,
            x: x * factor,
            squares: squares * factor,
            y: y * factor,
            products: products * factor,
        };
    };

    solve();
    return {
        add: (x, y, weight) => {
            decay(decayPerPoint ** weight);
            addTo(evidence, x, y, weight);
            solve();
        },
        decay: factor => {
            decay(factor);
            solve();
        },
        setPrior: next => {
            prior = next;
            solve();
        },
        at: x => intercept + slope * x,
    };
}

function addTo(sums: Sums, x: number, y: number, weight: number): void {
    sums.weight += weight;
    sums.x += weight * x;
    sums.squares += weight * x * x;
    sums.y += weight * y;
    sums.products += weight * x * y;
}
