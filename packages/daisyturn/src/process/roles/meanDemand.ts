/** Demand for both roles, or a split, in engines. */
export interface RoleDemand {
    readonly prefillEngines: number;
    readonly decodeEngines: number;
}

/** Long-term mean demand. */
export interface MeanDemand {
    /**
     * Records a demand. Must be called at a steady interval.
     * @param split the present engines; the first call assumes that they suit the mean demand
     */
    record(demand: RoleDemand, split: RoleDemand): void;
    /** The mean demand; zero before the first record. */
    value(): RoleDemand;
}

/** Number of records after which an earlier one has little weight: ten minutes at one record per second. */
const maxWeight = 600;

/**
 * Weight of the split found at the start, in records. Operators chose it for some mix, and the first minutes may show
 * only one side of a swing. In benchmarks without this weight, the first change was always wrong.
 */
const priorWeight = 180;

/**
 * Creates a mean that starts from the present split. All records have equal weight until the total weight is
 * `maxWeight`. From then on, the weight of earlier records decays.
 */
export function createMeanDemand(): MeanDemand {
    let weight = 0;
    let mean: RoleDemand = { prefillEngines: 0, decodeEngines: 0 };

    const initialize = (demand: RoleDemand, split: RoleDemand) => {
        const share = split.prefillEngines / Math.max(1, split.prefillEngines + split.decodeEngines);
        const all = demand.prefillEngines + demand.decodeEngines;
        mean = { prefillEngines: all * share, decodeEngines: all * (1 - share) };
        weight = priorWeight;
    };

    const record = (demand: RoleDemand, split: RoleDemand) => {
        if (weight === 0) {
            initialize(demand, split);
        }
        weight = Math.min(maxWeight, weight + 1);
        const move = (from: number, to: number) => from + (to - from) / weight;
        mean = {
            prefillEngines: move(mean.prefillEngines, demand.prefillEngines),
            decodeEngines: move(mean.decodeEngines, demand.decodeEngines),
        };
    };

    return { record, value: () => mean };
}
