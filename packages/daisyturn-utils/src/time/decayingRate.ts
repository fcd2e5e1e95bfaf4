/** Rate per second with exponential decay. */
export interface DecayingRate {
    add(amount: number, now: number): void;
    perSecond(now: number): number;
}

const millisecondsPerSecond = 1_000;

/** Creates a rate. An amount added `memory` milliseconds ago has the weight 1/e. Times are monotonic milliseconds. */
export function createDecayingRate(memory: number, start: number): DecayingRate {
    let sum = 0;
    let at = start;
    const decay = (now: number) => {
        if (now > at) {
            sum *= Math.exp((at - now) / memory);
            at = now;
        }
    };
    return {
        add: (amount, now) => {
            decay(now);
            sum += amount;
        },
        perSecond: now => {
            const sumNow = now > at ? sum * Math.exp((at - now) / memory) : sum;
            return sumNow / memory * millisecondsPerSecond;
        },
    };
}
