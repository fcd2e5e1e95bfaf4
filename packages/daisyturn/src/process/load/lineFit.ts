/** A line through points that are forgotten with time, held by two points that are not. */
export interface LineFit {
    add(x: number, y: number, weight: number): void;
    /** Lets all that was added count less, down to `factor` of what it did. */
    decay(factor: number): void;
    /** Places the fixed points anew. */
    setPrior(prior: LinePrior): void;
    at(x: number): number;
}

/** The fixed points. */
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

/** Part of the evidence that stays after one more point of weight 1. */
const memory = 0.95;

/** Creates a fit by least squares; the line never falls, because more work never makes an engine faster. */
export function createLineFit(initial: LinePrior): LineFit {
    let prior = initial;
    let evidence: Sums = { weight: 0, x: 0, squares: 0, y: 0, products: 0 };
    let base = 0;
    let slope = 0;

    const solve = () => {
        const sums = { ...evidence };
        prior.points.forEach(([x, y]) => addTo(sums, x, y, prior.weight));
        const spread = sums.weight * sums.squares - sums.x * sums.x;
        slope = Math.max(0, (sums.weight * sums.products - sums.x * sums.y) / spread);
        base = Math.max(0, (sums.y - slope * sums.x) / sums.weight);
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
            decay(memory ** weight);
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
        at: x => base + slope * x,
    };
}

function addTo(sums: Sums, x: number, y: number, weight: number): void {
    sums.weight += weight;
    sums.x += weight * x;
    sums.squares += weight * x * x;
    sums.y += weight * y;
    sums.products += weight * x * y;
}
