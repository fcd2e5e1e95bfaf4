import { EventKind, ExecutionVerdict, FailureReason, MemoryEventLog, toJson } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TableFaultKind } from "../../../ports/faultyTableService.js";
import { createAccount, createChangeRequest, createProfile, put, remove } from "../../../version/__fixtures__/items.js";
import { createConfigurationVersion } from "../../../version/createConfigurationVersion.js";
import { MemberState, PeerMethod } from "../../peers/index.js";
import {
    assertGenerationsIncrease,
    type CellProcess,
    type ConfigurationCell,
    createConfigurationCell,
} from "../__fixtures__/configurationCell.js";
import { changeKey, headKey } from "../configurationRows.js";
import { createActiveVersion } from "../createActiveVersion.js";
import { answerPull } from "../exchange/answerPull.js";

function createRequest(name: string, expectedGeneration?: number) {
    return createChangeRequest("north", `write-${name}`, [put(createProfile("north", name))], expectedGeneration);
}

async function publish(cell: ConfigurationCell, { configurationManager }: CellProcess, name: string) {
    return await cell.complete(configurationManager.publish(createRequest(name)));
}

/** Runs the anti-entropy of the processes for the given time. */
async function runFor(cell: ConfigurationCell, milliseconds: number, ...processes: readonly CellProcess[]) {
    const abort = new AbortController();
    const running = processes.map(({ configurationManager }) => configurationManager.run(abort.signal));
    await cell.clock.advance(milliseconds);
    abort.abort();
    await cell.complete(Promise.all(running));
}

/** Upper bound of the time until the store client detects that the store answers again. */
const probeMilliseconds = 6_000;

const generationsOf = (...processes: readonly CellProcess[]) =>
    processes.map(({ configurationManager }) => configurationManager.current().generation);

describe("the configuration under failures", () => {
    it("becomes active at all processes even if the store goes down right after the commit", async () => {
        const cell = createConfigurationCell();
        const processes = ["a", "b", "c"].map(cell.start);
        cell.store.script(TableFaultKind.None, TableFaultKind.None);
        cell.store.setDefaultFault(TableFaultKind.ConnectionRefused);
        const answer = await publish(cell, processes[0]!, "one");
        assert.deepEqual(answer.unwrapOr(undefined)?.inForceAt, ["a", "b", "c"]);
        assert.deepEqual(generationsOf(...processes), [1, 1, 1]);
        const rejected = await publish(cell, processes[1]!, "two");
        assert.ok(rejected.isErr);
        assert.deepEqual(generationsOf(...processes), [1, 1, 1]);
    });

    it("reports the outcome at another process after the answer was lost, without a second generation", async () => {
        const cell = createConfigurationCell();
        const [first, second] = [cell.start("a"), cell.start("b")];
        cell.store.script(TableFaultKind.None, TableFaultKind.BreakAfterCommit);
        cell.store.setDefaultFault(TableFaultKind.ConnectionRefused);
        const lost = await publish(cell, first, "one");
        assert.equal(lost.isErr && lost.error.verdict, ExecutionVerdict.MayHaveRun);
        cell.store.setDefaultFault(TableFaultKind.None);
        const repeated = await publish(cell, second, "one");
        assert.equal(repeated.unwrapOr(undefined)?.generation, 1);
        assert.deepEqual(generationsOf(first, second), [1, 1]);
        const other = await cell.complete(
            second.configurationManager.publish({ ...createRequest("two"), writeId: "write-one" }),
        );
        assert.equal(other.isErr && other.error.reason, FailureReason.IdempotencyKeyReused);
    });

    it("rejects a transaction that arrives after another change, or after its write id was cancelled", async () => {
        const cell = createConfigurationCell();
        const [first, second] = [cell.start("a"), cell.start("b")];
        for (
            const supersede of [
                () => publish(cell, second, "two"),
                () => second.configurationManager.cancel("north", "write-one"),
            ]
        ) {
            cell.store.script(TableFaultKind.None, TableFaultKind.CommitLate);
            cell.store.setDefaultFault(TableFaultKind.ConnectionRefused);
            const unknown = await publish(cell, first, "one");
            assert.equal(unknown.isErr && unknown.error.reason, FailureReason.OutcomeUnknown);
            cell.store.setDefaultFault(TableFaultKind.None);
            await cell.clock.advance(probeMilliseconds);
            await cell.complete<unknown>(supersede());
            const late = await cell.store.releaseLateCommits();
            assert.deepEqual(late.map(answer => answer.outcome), ["rejected"]);
        }
        assert.deepEqual(generationsOf(first, second), [1, 1]);
    });

    it("detects a transaction that is committed late, before any other change", async () => {
        const cell = createConfigurationCell();
        const [first, second] = [cell.start("a"), cell.start("b")];
        cell.store.script(TableFaultKind.None, TableFaultKind.CommitLate);
        cell.store.setDefaultFault(TableFaultKind.ConnectionRefused);
        await publish(cell, first, "one");
        cell.store.setDefaultFault(TableFaultKind.None);
        await cell.store.releaseLateCommits();
        await runFor(cell, 5_000, first, second);
        assert.deepEqual(generationsOf(first, second), [1, 1]);
    });

    it("names processes that are cut off as not having confirmed, and reaches them once they reconnect", async () => {
        const cell = createConfigurationCell();
        const processes = ["a", "b", "c"].map(cell.start);
        cell.networks.isolate("c");
        const answer = await publish(cell, processes[0]!, "one");
        assert.deepEqual(answer.unwrapOr(undefined)?.notConfirmedBy, ["c"]);
        assert.deepEqual(generationsOf(...processes), [1, 1, 0]);
        cell.networks.healAll();
        cell.store.setDefaultFault(TableFaultKind.ConnectionRefused);
        await runFor(cell, 3_000, ...processes);
        assert.deepEqual(generationsOf(...processes), [1, 1, 1]);
        assertGenerationsIncrease(...processes);
    });

    it("reaches processes without contact to peers through the store", async () => {
        const cell = createConfigurationCell();
        const processes = ["a", "b", "c"].map(cell.start);
        ["a", "b", "c"].forEach(cell.networks.isolate);
        await publish(cell, processes[0]!, "one");
        await runFor(cell, 5_000, ...processes);
        assert.deepEqual(generationsOf(...processes), [1, 1, 1]);
    });

    it("announces a change found in the store to the cell immediately", async () => {
        const cell = createConfigurationCell({ timing: { pullIntervalMilliseconds: 1_000_000 } });
        const publisher = cell.start("far");
        await publish(cell, publisher, "one");
        const near = ["a", "b", "c", "d", "e"].map(cell.start);
        cell.networks.isolate("far");
        cell.setState("far", MemberState.Dead);
        await cell.complete(Promise.all(near.map(one => one.configurationManager.adopt(new AbortController().signal))));
        await publish(cell, publisher, "two");
        const abort = new AbortController();
        // Only one process runs anti-entropy and reads the head of the store.
        const running = near[0]!.configurationManager.run(abort.signal);
        await cell.clock.advance(10_000);
        assert.deepEqual(generationsOf(...near), [2, 2, 2, 2, 2]);
        abort.abort();
        await cell.complete(running);
    });

    it("does not make the operator wait for dead members, and names them", async () => {
        const cell = createConfigurationCell();
        const [first] = ["a", "b", "c"].map(cell.start);
        cell.setState("c", MemberState.Dead);
        cell.networks.isolate("c");
        const start = cell.clock.monotonicNow();
        const answer = await publish(cell, first!, "one");
        assert.deepEqual(answer.unwrapOr(undefined)?.notConfirmedBy, ["c"]);
        assert.ok(cell.clock.monotonicNow() - start < 100);
    });

    it("commits a change without waiting until the change before it is confirmed", async () => {
        const cell = createConfigurationCell();
        const [first] = ["a", "b"].map(cell.start);
        cell.networks.cutBoth("a", "b");
        void first!.configurationManager.publish(createRequest("one"));
        void first!.configurationManager.publish(createRequest("two"));
        await cell.clock.advance(100);
        assert.equal(first!.configurationManager.current().generation, 2);
    });

    it("rejects changes and keeps its generation if the store has lost generations", async () => {
        const cell = createConfigurationCell();
        const first = cell.start("a");
        await publish(cell, first, "one");
        await cell.store.tableService.transact({
            writeId: "restore",
            conditions: [],
            writes: [{ key: headKey, value: undefined }],
        }, Infinity);
        const rejected = await publish(cell, first, "two");
        assert.equal(rejected.isErr && rejected.error.reason, FailureReason.Internal);
        assert.equal(first.eventLog.of(EventKind.Fault).length, 1);
        assert.deepEqual(generationsOf(first), [1]);
    });

    it("prunes old changes and their write ids, and still updates a process that is further behind", async () => {
        const cell = createConfigurationCell({ timing: { retainedChanges: 3 } });
        const [first, second] = [cell.start("a"), cell.start("b")];
        await publish(cell, first, "0");
        cell.networks.isolate("b");
        for (let index = 1; index < 10; index++) {
            await publish(cell, first, `${index}`);
        }
        const rows = (await cell.store.tableService.list("configuration/", 100, undefined, Infinity)).unwrapOr([]);
        const keys = rows.map(row => row.key);
        assert.deepEqual(keys.filter(key => key.startsWith("configuration/change/")), [8, 9, 10].map(changeKey));
        assert.equal(keys.filter(key => key.startsWith("configuration/write/")).length, 3);
        await runFor(cell, 5_000, second);
        assert.equal(second.configurationManager.current().items.length, 10);
        const history = (await cell.complete(first.configurationManager.history(50))).unwrapOr([]);
        assert.deepEqual(history.map(change => change.generation), [10, 9, 8]);
    });

    it("transfers a large configuration in pages without mixing generations while changes continue", async () => {
        const cell = createConfigurationCell();
        const [first, second] = [cell.start("a"), cell.start("b")];
        cell.networks.cutBoth("a", "b");
        const accounts = Array.from({ length: 6_300 }, (...[, index]) => createAccount("north", `a${index}`, []));
        for (let part = 0; part < 70; part++) {
            const steps = accounts.slice(part * 90, part * 90 + 90).map(put);
            const request = createChangeRequest("north", `bulk-${part}`, steps);
            assert.ok((await cell.complete(first.configurationManager.publish(request))).isOk);
        }
        cell.networks.healAll();
        cell.networks.delay("a", "b", 30);
        cell.disconnectFromStore("b");
        const adopting = second.configurationManager.adopt(new AbortController().signal);
        await cell.clock.advance(40);
        const removal = createChangeRequest("north", "remove", accounts.slice(0, 90).map(remove));
        assert.ok((await cell.complete(first.configurationManager.publish(removal))).isOk);
        await cell.complete(adopting);
        const names = second.configurationManager.current().items.map(item => item.name).sort();
        assert.deepEqual(names, accounts.slice(90).map(account => account.name).sort());
        assert.deepEqual(second.generations, [70, 71]);
        assert.ok(cell.networks.sent.filter(message => message.parameters["page"]).length > 5);
    });

    it("applies nothing from a peer whose changes have a gap", async () => {
        const cell = createConfigurationCell();
        const [first, second] = [cell.start("a"), cell.start("b")];
        for (const name of ["one", "two"]) {
            cell.networks.cut("a", "b");
            await publish(cell, first, name);
        }
        cell.networks.healAll();
        const changes = (await cell.complete(first.configurationManager.history(1))).unwrapOr([]);
        first.network.handle(
            PeerMethod.PullConfiguration,
            () => ({ generation: 2, cellSize: 2, changes: changes.map(toJson) }),
        );
        cell.store.setDefaultFault(TableFaultKind.ConnectionRefused);
        await runFor(cell, 3_000, second);
        assert.deepEqual(generationsOf(second), [0]);
    });

    it("keeps every answer to a pull well below the line limit between peers", () => {
        const activeVersion = createActiveVersion(new MemoryEventLog());
        const accounts = Array.from({ length: 15_000 }, (...[, index]) => createAccount("north", `a${index}`, []));
        activeVersion.advance(createConfigurationVersion(1, accounts));
        let offset: number | undefined = 0;
        let count = 0;
        while (offset !== undefined) {
            const answer: ReturnType<typeof answerPull> = answerPull(activeVersion, 1, {
                generation: 0,
                page: { generation: 1, offset },
            });
            assert.ok(Buffer.byteLength(JSON.stringify(answer)) < 200_000);
            count += answer.page?.items.length ?? 0;
            offset = answer.page?.nextOffset;
        }
        assert.equal(count, 15_000);
    });

    it("reports a retirement as complete only when every process has confirmed", async () => {
        const cell = createConfigurationCell();
        const [first, second, paused] = ["a", "b", "c"].map(cell.start);
        await publish(cell, first!, "one");
        const pin = second!.configurationManager.pin();
        pin.use(createProfile("north", "one"));
        second!.configurationManager.pin().use(createProfile("north", "other"));
        cell.networks.isolate("c");
        cell.setState("c", MemberState.Dead);
        const retire = createChangeRequest("north", "retire", [remove(createProfile("north", "one"))]);
        await cell.complete(first!.configurationManager.publish(retire));
        const report = async () =>
            (await cell.complete(first!.configurationManager.retirementOf(createProfile("north", "one"), 2))).unwrapOr(
                undefined,
            );
        assert.deepEqual((await report())?.runningAt, [{ processId: "b", requests: 1 }]);
        pin.release();
        assert.deepEqual([(await report())?.isComplete, (await report())?.notConfirmedBy], [false, ["c"]]);
        cell.networks.healAll();
        assert.deepEqual((await report())?.notConfirmedBy, ["c"], "it still accepts requests under the old generation");
        await runFor(cell, 3_000, paused!);
        assert.equal((await report())?.isComplete, true);
        // An item created again under the same name is in use, but it is not the item that was retired.
        await publish(cell, first!, "one-again");
        second!.configurationManager.pin().use(createProfile("north", "one"));
        assert.equal((await report())?.isComplete, true);
    });
});
