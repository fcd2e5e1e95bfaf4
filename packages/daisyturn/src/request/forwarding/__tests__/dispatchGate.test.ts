import { ExecutionVerdict } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createDispatchGate } from "../sending/dispatchGate.js";

test("nothing is sent after a gate is closed", () => {
    const gate = createDispatchGate();
    assert.equal(gate.close(), ExecutionVerdict.NotRun);
    assert.equal(gate.begin(true), undefined);
    assert.equal(gate.verdict(), ExecutionVerdict.NotRun);
});

test("a call may have run until the targets of all its runs say otherwise", () => {
    const gate = createDispatchGate();
    const first = gate.begin(true);
    gate.begin(true)?.markNotRun();
    assert.equal(gate.verdict(), ExecutionVerdict.MayHaveRun);
    first?.markNotRun();
    assert.equal(gate.close(), ExecutionVerdict.NotRun);
});

test("a separate prefill is not a run", () => {
    const gate = createDispatchGate();
    gate.begin(false);
    assert.equal(gate.close(), ExecutionVerdict.NotRun);
});
