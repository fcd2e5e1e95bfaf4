import { FailureReason, toJson } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { exploreInterleavings } from "../../../__fixtures__/exploreInterleavings.js";
import { createChangeRequest, createProfile, put, remove } from "../../../version/__fixtures__/items.js";
import { PeerMethod } from "../../peers/index.js";
import {
    assertGenerationsIncrease,
    type CellProcess,
    createConfigurationCell,
    listAccepted,
} from "../__fixtures__/configurationCell.js";
import { ChangeState } from "../fleetConfigurationManager.js";

const dossier = createProfile("north", "dossier");
const publishDossier = createChangeRequest("north", "w-1", [put(dossier)]);
const publishTimetable = createChangeRequest("south", "w-1", [put(createProfile("south", "timetable"))]);

function assertSameVersion(...processes: readonly CellProcess[]): void {
    const shown = processes.map(({ configurationManager }) => ({
        generation: configurationManager.current().generation,
        names: configurationManager.current().items.map(item => item.name).sort(),
    }));
    shown.forEach(one => assert.deepEqual(one, shown[0]));
}

describe("the configuration in all interleavings", () => {
    it("accepts concurrent changes of two partners at two processes, one after the other", async t => {
        const runs = await exploreInterleavings(async ({ step }) => {
            const cell = createConfigurationCell({ onStoreStep: (id, name) => step(`${id} ${name}`) });
            const [one, other] = [cell.start("a"), cell.start("b")];
            const answers = await Promise.all([
                one.configurationManager.publish(publishDossier),
                other.configurationManager.publish(publishTimetable),
            ]);
            assert.deepEqual(answers.map(answer => answer.isOk), [true, true]);
            assert.deepEqual(listAccepted(one, other), [1, 2]);
            assertGenerationsIncrease(one, other);
            assertSameVersion(one, other);
        });
        t.diagnostic(`${runs} interleavings`);
    });

    it("creates one generation for one write id published at two processes", async t => {
        const runs = await exploreInterleavings(async ({ step }) => {
            const cell = createConfigurationCell({ onStoreStep: (id, name) => step(`${id} ${name}`) });
            const [one, other] = [cell.start("a"), cell.start("b")];
            const answers = await Promise.all([
                one.configurationManager.publish(publishDossier),
                other.configurationManager.publish(publishDossier),
            ]);
            assert.deepEqual(answers.map(answer => answer.unwrapOr(undefined)?.generation), [1, 1]);
            assert.deepEqual(listAccepted(one, other), [1]);
            assertSameVersion(one, other);
        });
        t.diagnostic(`${runs} interleavings`);
    });

    it("accepts or cancels a change that is cancelled concurrently, and reports the same to both callers", async t => {
        const runs = await exploreInterleavings(async ({ step }) => {
            const cell = createConfigurationCell({ onStoreStep: (id, name) => step(`${id} ${name}`) });
            const [one, other] = [cell.start("a"), cell.start("b")];
            const [published, cancelled] = await Promise.all([
                one.configurationManager.publish(publishDossier),
                other.configurationManager.cancel("north", "w-1"),
            ]);
            const isAccepted = published.isOk;
            assert.equal(
                cancelled.unwrapOr(undefined)?.state,
                isAccepted ? ChangeState.Accepted : ChangeState.Cancelled,
            );
            assert.equal(published.isErr && published.error.reason, isAccepted ? false : FailureReason.Conflict);
            assert.equal(one.configurationManager.current().generation, isAccepted ? 1 : 0);
        });
        t.diagnostic(`${runs} interleavings`);
    });

    it("leaves no partial change if the publisher is killed between any two steps", async t => {
        const runs = await exploreInterleavings(async ({ choose }) => {
            const killAt = choose(5);
            let steps = 0;
            const cell = createConfigurationCell({
                onStoreStep: async processId => {
                    steps += processId === "a" ? 1 : 0;
                    if (steps > killAt) {
                        cell.kill("a");
                    }
                },
            });
            const [one, other, third] = [cell.start("a"), cell.start("b"), cell.start("c")];
            void one.configurationManager.publish(publishDossier);
            await cell.clock.advance(10);
            cell.kill("a");
            const abort = new AbortController();
            const running = [other, third].map(({ configurationManager }) => configurationManager.run(abort.signal));
            await cell.clock.advance(6_000);
            const wasCommitted = cell.store.transactions.length > 0;
            assert.equal(other.configurationManager.current().generation, wasCommitted ? 1 : 0);
            assertSameVersion(other, third);
            const again = await cell.complete(other.configurationManager.publish(publishDossier));
            assert.equal(again.unwrapOr(undefined)?.generation, 1);
            assert.equal(cell.store.transactions.length, 1);
            abort.abort();
            await cell.complete(Promise.all(running));
        });
        t.diagnostic(`${runs} steps at which the publisher was killed`);
    });

    it("never decreases the generation after lost, duplicate and reordered pushes, with or without pulls", async () => {
        const cell = createConfigurationCell();
        const sender = cell.start("a");
        for (const name of ["one", "two", "three"]) {
            const request = createChangeRequest("north", name, [put(createProfile("north", name))]);
            await cell.complete(sender.configurationManager.publish(request));
        }
        const changes = (await cell.complete(sender.configurationManager.history(3))).unwrapOr([]).toReversed();
        const runs = await exploreInterleavings(async ({ choose }) => {
            const receiver = cell.start("b");
            const canPull = choose(2) === 1;
            cell.networks.healAll();
            if (!canPull) {
                cell.networks.cut("b", "a");
            }
            let expected = 0;
            for (let push = 0; push < 4; push++) {
                const generation = choose(4);
                const change = changes[generation - 1];
                if (change) {
                    sender.network.notify("b", PeerMethod.PushConfiguration, toJson({ change }));
                    const follows = generation === expected + 1;
                    // A pull fetches all changes that the sender has.
                    expected = canPull && generation > expected && !follows ? 3 : expected + Number(follows);
                }
                await cell.clock.advance(0);
            }
            assert.equal(receiver.configurationManager.current().generation, expected);
            assertGenerationsIncrease(receiver);
        });
        assert.equal(runs, 2 * 4 ** 4);
    });

    it("never reports a retirement as complete while a request under the item runs", async t => {
        let completions = 0;
        const runs = await exploreInterleavings(async ({ step }) => {
            const cell = createConfigurationCell();
            const [operator, entry] = [cell.start("a"), cell.start("b")];
            await cell.complete(operator.configurationManager.publish(publishDossier));
            let isRunning = false;
            const serve = async () => {
                await step("arrive");
                const pin = entry.configurationManager.pin();
                isRunning = pin.version.findProfile("north", "dossier") !== undefined;
                await step("identify");
                pin.use(dossier);
                await step("end");
                isRunning = false;
                pin.release();
            };
            const retire = async () => {
                await step("publish");
                await operator.configurationManager.publish(createChangeRequest("north", "w-2", [remove(dossier)]));
                for (let query = 0; query < 3; query++) {
                    await step("ask");
                    const report = (await operator.configurationManager.retirementOf(dossier)).unwrapOr(undefined);
                    completions += report?.isComplete ? 1 : 0;
                    assert.ok(!(report?.isComplete && isRunning), "complete while a request runs");
                }
            };
            await Promise.all([serve(), retire()]);
        });
        t.diagnostic(`${runs} interleavings, ${completions} reports of completion`);
        assert.ok(completions > 0);
    });
});
