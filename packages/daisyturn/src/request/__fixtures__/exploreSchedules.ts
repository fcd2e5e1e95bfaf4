import type { Random } from "daisyturn-utils";

/** One thing that may happen next in a world under test. */
export interface Choice {
    readonly label: string;
    /** What it costs of the budget: how far it departs from the undisturbed order. */
    readonly cost: number;
    readonly run: () => void;
}

/** A world whose every step is chosen from outside. */
export interface ExploredWorld {
    /** What may happen next; the first is the undisturbed way. Empty at the end. */
    listChoices(): readonly Choice[];
    /** Lets all woken code run to its next wait. */
    settle(): Promise<void>;
    /** Throws if the world breaks its promises; called once at the end. */
    check(): Promise<void>;
}

/** How far to look. */
export interface ExplorationLimits {
    /** Total cost of departures from the undisturbed way in one run. */
    readonly budget: number;
    readonly maxRuns: number;
    /** Runs the departures in random order instead of depth first, so that a cut-off search sees all kinds. */
    readonly random?: Random;
}

/** What was looked at. */
export interface Exploration {
    readonly runs: number;
    readonly steps: number;
    /** False if the search was cut off by `maximumRuns`. */
    readonly isComplete: boolean;
    /** Labels chosen at least once, with their number. */
    readonly chosen: ReadonlyMap<string, number>;
}

const maxSteps = 2_000;

/**
 * Runs a world again and again, each time with another sequence of choices, until all sequences within the budget are
 * done. Source: Emmi, Qadeer, Rakamarić, "Delay-bounded scheduling", POPL 2011; the faults are priced like delays.
 * A broken promise is thrown with the sequence that led to it.
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
                throw new Error(`the run does not end or repeat itself: ${labels.slice(-30).join(", ")}`);
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
