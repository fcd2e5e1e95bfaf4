import { setImmediate as nextTurn } from "node:timers/promises";

/** Passed to a scenario. The explorer determines the order in which its steps continue. */
export interface Interleaving {
    /** Resolves when it is this step's turn. */
    step(label: string): Promise<void>;
    /** Returns a number from 0 to `count - 1`. All of them are tried. */
    choose(count: number): number;
    /** Labels of the steps so far, in the order in which they continued. */
    readonly trace: readonly string[];
}

interface Branch {
    readonly count: number;
    readonly taken: number;
}

/** Enough for every task to reach its next step, since chains of promises complete within one turn. */
const turnsPerStep = 2;
const maxRuns = 50_000;

/**
 * Runs a scenario once for every order in which its waiting steps can continue, and returns the number of runs.
 * The scenario must be deterministic: the same choices must lead to the same steps.
 */
export async function exploreInterleavings(scenario: (interleaving: Interleaving) => Promise<void>): Promise<number> {
    let planned: readonly Branch[] | undefined = [];
    let runs = 0;
    while (planned) {
        if (runs >= maxRuns) {
            throw new Error(`more than ${maxRuns} interleavings`);
        }
        planned = nextPlan(await runOnce(scenario, planned));
        runs += 1;
    }
    return runs;
}

async function runOnce(
    scenario: (interleaving: Interleaving) => Promise<void>,
    planned: readonly Branch[],
): Promise<readonly Branch[]> {
    const branches: Branch[] = [];
    const waiting: { label: string; go: () => void; }[] = [];
    const trace: string[] = [];
    let isOver = false;

    const choose = (count: number) => {
        const taken = planned[branches.length]?.taken ?? 0;
        branches.push({ count, taken });
        return taken;
    };
    const step = (label: string) => new Promise<void>(go => waiting.push({ label, go }));
    const running = scenario({ step, choose, trace }).finally(() => {
        isOver = true;
    });
    running.catch(() => undefined);

    while (!isOver) {
        for (let turn = 0; turn < turnsPerStep; turn++) {
            await nextTurn();
        }
        const [next] = waiting.length > 0 ? waiting.splice(choose(waiting.length), 1) : [];
        if (next) {
            trace.push(next.label);
            next.go();
        }
    }
    try {
        await running;
    }
    catch (error) {
        throw new Error(`after the steps: ${trace.join(", ")}`, { cause: error });
    }
    return branches;
}

/** Advances the last branch that has an untried choice; returns undefined if there is none. */
function nextPlan(branches: readonly Branch[]): readonly Branch[] | undefined {
    const last = branches.findLastIndex(branch => branch.taken + 1 < branch.count);
    const branch = branches[last];
    return branch && [...branches.slice(0, last), { count: branch.count, taken: branch.taken + 1 }];
}
