import { createSeededRandom } from "daisyturn-utils";
import type { StageWork } from "../forecastNeeds.js";

/** A random load by time; `at` is in milliseconds. */
export type DrawnLoad = (at: number) => StageWork;

const meanWork: StageWork = { prefill: 6, decode: 8 };
/** Arrivals bunch, so the work of each quarter of a second differs by up to this part. */
const noise = 0.15;
const stepMilliseconds = 250;
const steps = 2_000;

/** Draws a load whose factor on each stage is given by time. */
function draw(seed: number, factors: (at: number, random: () => number) => StageWork): DrawnLoad {
    const random = createSeededRandom(seed);
    const next = () => random.fraction();
    const values = [...Array(steps).keys()].map(step => {
        const { prefill, decode } = factors(step * stepMilliseconds, next);
        const vary = () => 1 + (next() * 2 - 1) * noise;
        return { prefill: meanWork.prefill * prefill * vary(), decode: meanWork.decode * decode * vary() };
    });
    return at => values[Math.min(steps - 1, Math.floor(at / stepMilliseconds))]!;
}

export function drawCalm(seed: number): DrawnLoad {
    return draw(seed, () => ({ prefill: 1, decode: 1 }));
}

/** One kind of work rises to between 1.5 and 2 times its mean while the other halves, in turn. */
export function drawSwings(seed: number, periodMilliseconds: number): DrawnLoad {
    let rise = 1.5;
    return draw(seed, (at, random) => {
        const half = periodMilliseconds / 2;
        if (at % half === 0) {
            rise = 1.5 + random() * 0.5;
        }
        const isPrefill = Math.floor(at / half) % 2 === 0;
        return isPrefill ? { prefill: rise, decode: 0.5 } : { prefill: 0.5, decode: rise };
    });
}

/** All work doubles for some time. */
export function drawSurge(seed: number, from: number, to: number): DrawnLoad {
    return draw(seed, at => at >= from && at < to ? { prefill: 2, decode: 2 } : { prefill: 1, decode: 1 });
}
