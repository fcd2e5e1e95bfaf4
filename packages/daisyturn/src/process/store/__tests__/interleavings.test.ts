import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TableFaultKind } from "../../../ports/faultyTableService.js";
import { TransactionOutcome } from "../../../ports/tableService.js";
import {
    assertTrueAnswer,
    type Interleaving,
    listInterleavings,
    marked,
    OtherAct,
    playInterleaving,
    type Shape,
    shapes,
} from "../__fixtures__/interleavings.js";

const allActs = Object.values(OtherAct);
const actsWithoutDelete = [OtherAct.None, OtherAct.OverwriteA, OtherAct.OverwriteB];

interface Case {
    readonly name: string;
    readonly shape: Shape;
    readonly isPresent: boolean;
    /** Faulty tries at most; 2 if absent. */
    readonly mostFaults?: number;
    readonly acts: readonly OtherAct[];
    /** Orders, all with a store that answers in the end, for which the client may not say Unknown. */
    readonly mustKnow: (order: Interleaving) => boolean;
}

const never = () => false;
const always = () => true;
const ifUndisturbed = ({ act }: Interleaving) => act === OtherAct.None;
/** A try that must not be repeated is settled by reading back, if it had committed by then. */
const ifCommittedAtOnce = ({ act, faults }: Interleaving) =>
    act === OtherAct.None
    && faults.find(fault => fault !== TableFaultKind.ConnectionRefused) === TableFaultKind.BreakAfterCommit;
const unlessOverwritten = ({ act }: Interleaving) => act === OtherAct.None || act === OtherAct.OverwriteB;

// A row that is demanded to be absent must not be deleted meanwhile; only a marker makes up for that.
const cases: readonly Case[] = [
    {
        name: "update",
        shape: shapes.update,
        isPresent: true,
        acts: allActs,
        mustKnow: unlessOverwritten,
        mostFaults: 3,
    },
    { name: "update of both", shape: shapes.updateBoth, isPresent: true, acts: allActs, mustKnow: always },
    { name: "fenced update", shape: shapes.fenced, isPresent: true, acts: allActs, mustKnow: unlessOverwritten },
    { name: "delete", shape: shapes.remove, isPresent: true, acts: allActs, mustKnow: never },
    { name: "delete of an absent row", shape: shapes.remove, isPresent: false, acts: allActs, mustKnow: never },
    { name: "create", shape: shapes.update, isPresent: false, acts: actsWithoutDelete, mustKnow: unlessOverwritten },
    { name: "fenced create", shape: shapes.fenced, isPresent: false, acts: actsWithoutDelete, mustKnow: ifUndisturbed },
    { name: "renewal", shape: shapes.renewal, isPresent: true, acts: allActs, mustKnow: ifCommittedAtOnce },
    {
        name: "unconditional",
        shape: shapes.unconditional,
        isPresent: true,
        acts: allActs,
        mustKnow: ifCommittedAtOnce,
    },
    ...["update", "fenced", "unconditional"].flatMap(name =>
        [true, false].map(isPresent => (
            { name: `marked ${name}${isPresent ? "" : ", row absent"}`, isPresent, acts: allActs, mustKnow: always }
        )).map(item => ({ ...item, shape: marked(shapes[name as keyof typeof shapes]) }))
    ),
];

describe("a transaction through the store client, every order of faults, late commits and another writer", () => {
    for (const { name, shape, isPresent, acts, mustKnow, mostFaults = 2 } of cases) {
        it(`answers the truth: ${name}`, async () => {
            for (const order of listInterleavings(acts, mostFaults)) {
                const [settled] = await playInterleaving([shape], isPresent, order);
                const description = JSON.stringify({ ...order, settled });
                assert.ok(settled);
                assertTrueAnswer(settled, description);
                if (order.recovers && mustKnow(order)) {
                    assert.notEqual(settled.answer.outcome, TransactionOutcome.Unknown, description);
                }
            }
        });
    }

    it("answers the truth to each member of a group", async () => {
        const members = [shapes.update, shapes.updateB, shapes.createC];
        for (const order of listInterleavings(allActs, 2)) {
            const settled = await playInterleaving(members, true, order);
            const description = JSON.stringify({ ...order, settled });
            settled.forEach(one => assertTrueAnswer(one, description));
            if (order.recovers) {
                assert.notEqual(settled[2]?.answer.outcome, TransactionOutcome.Unknown, description);
            }
        }
    });
});
