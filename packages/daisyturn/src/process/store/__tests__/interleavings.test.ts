import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TableFaultKind } from "../../../ports/faultyTableService.js";
import { TransactionOutcome } from "../../../ports/tableService.js";
import {
    assertCorrectAnswer,
    type Interleaving,
    listInterleavings,
    marked,
    OtherWriterAction,
    runInterleaving,
    type Shape,
    shapes,
} from "../__fixtures__/interleavings.js";

const allActions = Object.values(OtherWriterAction);
const actionsWithoutDelete = [OtherWriterAction.None, OtherWriterAction.OverwriteA, OtherWriterAction.OverwriteB];

interface Case {
    readonly name: string;
    readonly shape: Shape;
    readonly isPresent: boolean;
    /** Maximum number of attempts with a fault; 2 if absent. */
    readonly maxFaults?: number;
    readonly actions: readonly OtherWriterAction[];
    /** Whether the client must not report Unknown for an order in which the store answers in the end. */
    readonly mustKnow: (order: Interleaving) => boolean;
}

const never = () => false;
const always = () => true;
const ifUndisturbed = ({ act }: Interleaving) => act === OtherWriterAction.None;
/** An attempt that must not be repeated is settled by reading the rows, if it has committed by then. */
const ifCommittedAtOnce = ({ act, faults }: Interleaving) =>
    act === OtherWriterAction.None
    && faults.find(fault => fault !== TableFaultKind.ConnectionRefused) === TableFaultKind.BreakAfterCommit;
const unlessOverwritten = ({ act }: Interleaving) =>
    act === OtherWriterAction.None || act === OtherWriterAction.OverwriteB;

// A row with a condition to be absent must not be deleted concurrently, unless the transaction has a marker.
const cases: readonly Case[] = [
    {
        name: "update",
        shape: shapes.update,
        isPresent: true,
        actions: allActions,
        mustKnow: unlessOverwritten,
        maxFaults: 3,
    },
    { name: "update of both", shape: shapes.updateBoth, isPresent: true, actions: allActions, mustKnow: always },
    { name: "fenced update", shape: shapes.fenced, isPresent: true, actions: allActions, mustKnow: unlessOverwritten },
    { name: "delete", shape: shapes.remove, isPresent: true, actions: allActions, mustKnow: never },
    { name: "delete of an absent row", shape: shapes.remove, isPresent: false, actions: allActions, mustKnow: never },
    {
        name: "create",
        shape: shapes.update,
        isPresent: false,
        actions: actionsWithoutDelete,
        mustKnow: unlessOverwritten,
    },
    {
        name: "fenced create",
        shape: shapes.fenced,
        isPresent: false,
        actions: actionsWithoutDelete,
        mustKnow: ifUndisturbed,
    },
    { name: "renewal", shape: shapes.renewal, isPresent: true, actions: allActions, mustKnow: ifCommittedAtOnce },
    {
        name: "unconditional",
        shape: shapes.unconditional,
        isPresent: true,
        actions: allActions,
        mustKnow: ifCommittedAtOnce,
    },
    ...["update", "fenced", "unconditional"].flatMap(name =>
        [true, false].map(isPresent => (
            {
                name: `marked ${name}${isPresent ? "" : ", row absent"}`,
                isPresent,
                actions: allActions,
                mustKnow: always,
            }
        )).map(item => ({ ...item, shape: marked(shapes[name as keyof typeof shapes]) }))
    ),
];

describe("a transaction through the store client, in all orders of faults, late commits and another writer", () => {
    for (const { name, shape, isPresent, actions, mustKnow, maxFaults = 2 } of cases) {
        it(`reports the correct outcome: ${name}`, async () => {
            for (const order of listInterleavings(actions, maxFaults)) {
                const [settled] = await runInterleaving([shape], isPresent, order);
                const description = JSON.stringify({ ...order, settled });
                assert.ok(settled);
                assertCorrectAnswer(settled, description);
                if (order.recovers && mustKnow(order)) {
                    assert.notEqual(settled.answer.outcome, TransactionOutcome.Unknown, description);
                }
            }
        });
    }

    it("reports the correct outcome to each member of a group", async () => {
        const members = [shapes.update, shapes.updateB, shapes.createC];
        for (const order of listInterleavings(allActions, 2)) {
            const settled = await runInterleaving(members, true, order);
            const description = JSON.stringify({ ...order, settled });
            settled.forEach(one => assertCorrectAnswer(one, description));
            if (order.recovers) {
                assert.notEqual(settled[2]?.answer.outcome, TransactionOutcome.Unknown, description);
            }
        }
    });
});
