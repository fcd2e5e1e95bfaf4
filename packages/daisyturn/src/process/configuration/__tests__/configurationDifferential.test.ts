import { FailureReason } from "daisyturn-utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TableFaultKind } from "../../../ports/faultyTableService.js";
import {
    createAccount,
    createChangeRequest,
    createHold,
    createModelService,
    createProfile,
    createTarget,
    put,
    remove,
} from "../../../version/__fixtures__/items.js";
import type { ChangeRequest, ItemChange } from "../../../version/configurationChange.js";
import { type ConfigurationItem, formatItemIdentity } from "../../../version/configurationItems.js";
import {
    assertGenerationsIncrease,
    type CellProcess,
    type ConfigurationCell,
    createConfigurationCell,
} from "../__fixtures__/configurationCell.js";
import {
    emptyNaiveState,
    type NaiveAnswer,
    type NaiveState,
    publishNaively,
} from "../__fixtures__/naiveConfiguration.js";

const processIds = ["a", "b", "c"];
const partnerArbitrary = fc.constantFrom("north", "south");
const nameArbitrary = fc.constantFrom("x", "y");

const rarely = <Value>(arbitrary: fc.Arbitrary<Value>) =>
    fc.oneof({ weight: 5, arbitrary: fc.constant(undefined) }, { weight: 1, arbitrary });

const itemArbitrary = (partner: string): fc.Arbitrary<ConfigurationItem> =>
    fc.tuple(nameArbitrary, nameArbitrary, fc.nat(7)).map(([name, other, kind]) =>
        [
            createProfile(partner, name, { model: other }),
            createProfile(partner, name, { model: name }),
            createTarget(partner, `${partner}-${name}`),
            createModelService(partner, name, other),
            createModelService(partner, name, name),
            { ...createAccount("any", other, [name]), partner, name },
            createHold(partner, name),
            createTarget(partner, name),
        ][kind] as ConfigurationItem
    );

const requestArbitrary: fc.Arbitrary<ChangeRequest> = partnerArbitrary.chain(partner =>
    fc.record({
        writeId: fc.nat(30).map(number => `w-${number}`),
        changes: fc.array(
            fc.oneof(
                { weight: 12, arbitrary: itemArbitrary(partner).map(put) },
                { weight: 4, arbitrary: itemArbitrary(partner).map(remove) },
                { weight: 1, arbitrary: partnerArbitrary.chain(itemArbitrary).map((item): ItemChange => put(item)) },
            ),
            { minLength: 1, maxLength: 2 },
        ),
        expectedGeneration: rarely(fc.nat(12)),
    }).map(({ writeId, changes, expectedGeneration }) =>
        createChangeRequest(partner, writeId, changes, expectedGeneration)
    )
);

/** Several faults in a row open the breaker of the store client; the operator then repeats the request. */
const faultArbitrary = fc.constantFrom(
    TableFaultKind.None,
    TableFaultKind.BreakAfterCommit,
    TableFaultKind.BreakBeforeCommit,
    TableFaultKind.Throttle,
    TableFaultKind.LoseAnswer,
);

const batchArbitrary = fc.record({
    /** Published concurrently, each at a different process. */
    requests: fc.array(requestArbitrary, { minLength: 1, maxLength: processIds.length }),
    faults: fc.array(faultArbitrary, { maxLength: 6 }),
    restarted: rarely(fc.constantFrom(...processIds)),
});

const unsettledReasons = [FailureReason.OutcomeUnknown, FailureReason.StoreUnavailable, FailureReason.RateLimited];
/** Upper bound of the time until the store client detects that the store answers again. */
const retryMilliseconds = 6_000;

/** Publishes as an operator does: while the outcome is unknown, repeats the request at the next process. */
async function publishUntilAnswered(
    cell: ConfigurationCell,
    processes: ReadonlyMap<string, CellProcess>,
    firstProcess: number,
    request: ChangeRequest,
): Promise<NaiveAnswer> {
    for (let attempt = firstProcess;; attempt++) {
        const processId = processIds[attempt % processIds.length] ?? "";
        const answer = await processes.get(processId)!.configurationManager.publish(request);
        if (answer.isOk) {
            return answer.value.generation;
        }
        if (!unsettledReasons.includes(answer.error.reason)) {
            return answer.error.reason;
        }
        await cell.clock.sleepUntil(cell.clock.monotonicNow() + retryMilliseconds);
    }
}

/**
 * Searches for an order of the requests in which the naive implementation gives the same answers. Returns its state
 * after that order, or undefined if there is none.
 */
function findNaiveState(
    state: NaiveState,
    requests: readonly ChangeRequest[],
    answers: readonly NaiveAnswer[],
): NaiveState | undefined {
    if (requests.length === 0) {
        return state;
    }
    for (const [index, request] of requests.entries()) {
        const naive = publishNaively(state, request);
        const rest = naive.answer === answers[index]
            ? findNaiveState(naive.state, requests.toSpliced(index, 1), answers.toSpliced(index, 1))
            : undefined;
        if (rest) {
            return rest;
        }
    }
    return undefined;
}

function listItems(items: readonly ConfigurationItem[]): ConfigurationItem[] {
    return [...items].sort((left, right) => formatItemIdentity(left) < formatItemIdentity(right) ? -1 : 1);
}

describe("the configuration of several processes", () => {
    it("gives the answers of a single process with one lock, for all orders, faults and restarts", async t => {
        let accepted = 0;
        await fc.assert(
            fc.asyncProperty(
                fc.array(batchArbitrary, { minLength: 5, maxLength: 15, size: "max" }),
                fc.nat(1_000),
                async (batches, seed) => {
                    const cell = createConfigurationCell({ seed });
                    const processes = new Map<string, CellProcess>(processIds.map(id => [id, cell.start(id)]));
                    let naive = emptyNaiveState;
                    for (const { requests, faults, restarted } of batches) {
                        if (restarted !== undefined) {
                            cell.kill(restarted);
                            const fresh = cell.start(restarted);
                            processes.set(restarted, fresh);
                            await cell.complete(fresh.configurationManager.adopt(new AbortController().signal));
                            assert.equal(fresh.configurationManager.current().generation, naive.generation);
                        }
                        cell.store.script(...faults);
                        const pending = requests.map((request, index) =>
                            publishUntilAnswered(cell, processes, index, request)
                        );
                        const answers = await cell.complete(Promise.all(pending));
                        const next = findNaiveState(naive, requests, answers);
                        assert.ok(next, `no order gives ${answers.join(", ")}`);
                        accepted += next.generation - naive.generation;
                        naive = next;
                        for (const { configurationManager } of processes.values()) {
                            assert.equal(configurationManager.current().generation, naive.generation);
                            assert.deepEqual(listItems(configurationManager.current().items), listItems(naive.items));
                        }
                        assertGenerationsIncrease(...processes.values());
                    }
                },
            ),
            { seed: 11, numRuns: 100 },
        );
        t.diagnostic(`${accepted} generations accepted`);
        assert.ok(accepted > 500);
    });
});
