import type { Random } from "daisyturn-utils";

/** A possible next step of the system under test. */
export interface Choice {
    readonly label: string;
    /** Cost of the step in the budget: its distance from the default order. */
    readonly cost: number;
    readonly run: () => void;
}

/** A system under test in which the explorer chooses every step. */
export interface ExploredWorld {
    /** Lists the possible next steps, the default first. Empty at the end of a run. */
    listChoices(): readonly Choice[];
    /** Runs all pending code up to its next wait. */
    settle(): Promise<void>;
    /** Throws if an invariant is violated; called once at the end of a run. */
    check(): Promise<void>;
}

/** Limits of an exploration. */
export interface ExplorationLimits {
    /** Maximum total cost of the departures from the default order in one run. */
    readonly budget: number;
    readonly maxRuns: number;
    /** Explores departures in random order instead of depth first, so that a limited search covers all kinds. */
    readonly random?: Random;
}

/** Result of an exploration. */
export interface Exploration {
    readonly runs: number;
    readonly steps: number;
    /** False if the search was cut off by `maxRuns`. */
    readonly isComplete: boolean;
    /** Labels that were chosen at least once, with the number of times. */
    readonly chosen: ReadonlyMap<string, number>;
}

const maxSteps = 2_000;

/**
 * Runs a system repeatedly, each time with another sequence of choices, until all sequences within the budget have been
 * run. Source: Emmi, Qadeer, Rakamarić, "Delay-bounded scheduling", POPL 2011; faults cost as much as delays.
 * A violated invariant is thrown with the sequence that led to it.
 */
export async function exploreSchedules(
    createWorld: () => ExploredWorld,
    limits: ExplorationLimits,
): Promise<Exploration> {
    const open: (readonly number[])[] = [[]];
    const chosen = new Map<string, number>();
    let runs = 0;
    let steps = 0;

    const runOne = async (prefix: readonly number[]) => {
        const world = createWorld();
        const path: number[] = [];
        const labels: string[] = [];
        let left = limits.budget;
        await world.settle();
        for (let choices = world.listChoices(); choices.length > 0; choices = world.listChoices()) {
            const index = prefix[path.length] ?? 0;
            if (path.length >= prefix.length) {
                choices.forEach((choice, other) => {
                    if (other > 0 && choice.cost <= left) {
                        open.push([...path, other]);
                    }
                });
            }
            const choice = choices[index];
            if (!choice || path.length > maxSteps) {
                throw new Error(`the run does not end or is not reproducible: ${labels.slice(-30).join(", ")}`);
            }
            left -= choice.cost;
            path.push(index);
            labels.push(choice.label);
            chosen.set(choice.label, (chosen.get(choice.label) ?? 0) + 1);
            choice.run();
            await world.settle();
        }
        steps += path.length;
        await world.check().catch((error: unknown) => {
            throw new Error(`${String(error)}\nafter: ${labels.join(", ")}`, { cause: error });
        });
    };

    while (open.length > 0 && runs < limits.maxRuns) {
        const at = limits.random ? limits.random.integerBelow(open.length) : open.length - 1;
        const prefix = open[at] ?? [];
        open[at] = open.at(-1) ?? [];
        open.pop();
        runs += 1;
        await runOne(prefix);
    }
    return { runs, steps, isComplete: open.length === 0, chosen };
}
