import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { exploreInterleavings } from "../../../__fixtures__/exploreInterleavings.js";
import { TableFaultKind } from "../../../ports/faultyTableService.js";
import { createChangeRequest, createProfile, put } from "../../../version/__fixtures__/items.js";
import { MemberState } from "../../peers/index.js";
import {
    type CellProcess,
    type ConfigurationCell,
    createConfigurationCell,
} from "../__fixtures__/configurationCell.js";

enum PeerCondition {
    /** The newest generation is active. */
    Newest,
    /** The generation before the newest is active. */
    Stale,
    /** Started, but has not adopted a version. */
    Fresh,
    /** Known to the others as dead. */
    Silent,
}

const never = new AbortController().signal;

async function publishAt(cell: ConfigurationCell, { configurationManager }: CellProcess, name: string): Promise<void> {
    const request = createChangeRequest("north", name, [put(createProfile("north", name))]);
    const answer = await cell.complete(configurationManager.publish(request));
    assert.ok(answer.isOk);
}

/** Creates a cell at generation 2 whose publisher has left and whose peers are in the given conditions. */
async function createOutage(conditions: readonly PeerCondition[]): Promise<ConfigurationCell> {
    const cell = createConfigurationCell({ timing: { confirmMilliseconds: 20, storeCallMilliseconds: 20 } });
    const publisher = cell.start("publisher");
    const peers = conditions.map((...[, index]) => cell.start(`peer-${index}`));
    await publishAt(cell, publisher, "one");
    conditions.forEach((condition, index) => {
        if (condition !== PeerCondition.Newest) {
            cell.networks.cut("publisher", `peer-${index}`);
        }
    });
    await publishAt(cell, publisher, "two");
    cell.networks.healAll();
    cell.kill("publisher");
    cell.setState("publisher", MemberState.Left);
    conditions.forEach((condition, index) => {
        if (condition === PeerCondition.Fresh) {
            peers[index] = cell.start(`peer-${index}`);
        }
        if (condition === PeerCondition.Silent) {
            cell.kill(`peer-${index}`);
            cell.setState(`peer-${index}`, MemberState.Dead);
        }
    });
    return cell;
}

/** The generation that must be adopted. Undefined if the process must not become ready. */
function findExpected(conditions: readonly PeerCondition[], isStoreUp: boolean): number | undefined {
    if (isStoreUp) {
        return 2;
    }
    const informed = conditions.filter(one => one === PeerCondition.Newest || one === PeerCondition.Stale);
    const isEnough = informed.length > 0 && 2 * (informed.length + 1) > conditions.length + 1;
    return isEnough ? Math.max(...informed.map(one => one === PeerCondition.Newest ? 2 : 1)) : undefined;
}

describe("adoptVersion", () => {
    it("adopts the newest generation that can be determined, for all states of four peers and the store", async () => {
        const runs = await exploreInterleavings(async ({ choose }) => {
            const conditions = Array.from({ length: 4 }, () => choose(4) as PeerCondition);
            const isStoreUp = choose(2) === 1;
            const cell = await createOutage(conditions);
            cell.store.setDefaultFault(isStoreUp ? TableFaultKind.None : TableFaultKind.ConnectionRefused);
            const late = cell.start("late");
            const abort = new AbortController();
            let isReady = false;
            const adopting = late.configurationManager.adopt(abort.signal).then(() => isReady = !abort.signal.aborted);
            await cell.clock.advance(100);
            abort.abort();
            await adopting;
            const expected = findExpected(conditions, isStoreUp);
            assert.equal(
                isReady ? late.configurationManager.current().generation : undefined,
                expected,
                JSON.stringify(conditions),
            );
        });
        assert.equal(runs, 4 ** 4 * 2);
    });

    it("waits while neither the store nor peers answer, and adopts once the store answers again", async () => {
        const cell = await createOutage([]);
        cell.store.setDefaultFault(TableFaultKind.ConnectionRefused);
        const late = cell.start("late");
        let isReady = false;
        const adopting = late.configurationManager.adopt(never).then(() => isReady = true);
        await cell.clock.advance(60_000);
        assert.equal(isReady, false);
        cell.store.setDefaultFault(TableFaultKind.None);
        await cell.complete(adopting);
        assert.equal(late.configurationManager.current().generation, 2);
    });

    it("does not adopt from a single stale peer, even if it knows no other members of the cell", async () => {
        const cell = await createOutage([PeerCondition.Stale, PeerCondition.Silent, PeerCondition.Silent]);
        cell.store.setDefaultFault(TableFaultKind.ConnectionRefused);
        const late = cell.start("late");
        // A process that has just started knows only the members that it has already contacted.
        late.membership.others = () => [{ identity: cell.start("unused").self, state: MemberState.Left }];
        late.membership.livePeers = () => [{ ...late.self, processId: "peer-0" }];
        let isReady = false;
        void late.configurationManager.adopt(never).then(() => isReady = true);
        await cell.clock.advance(1_000);
        assert.equal(isReady, false);
    });
});
