import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineRole } from "../../../ports/engine.js";
import type { EngineLoad } from "../../load/index.js";
import { createRolePlanning, defaultRolePlannerSettings } from "../createRolePlanner.js";
import type { PoolDemand, RolePool } from "../rolePool.js";

function createEngine(engineId: string): EngineLoad {
    return { engineId, streams: () => 0 } as unknown as EngineLoad;
}

function createPool(changes: Partial<RolePool> = {}): RolePool {
    return { models: ["m"], prefill: [], decode: [], mixedEngines: 0, changingEngines: 0, ...changes };
}

const demand: PoolDemand = { prefillEngines: 0.3, decodeEngines: 0.3, worthPerSecond: 10, changeCost: 1_000_000 };

function plan(pool: RolePool) {
    const planning = createRolePlanning(new FakeClock(), defaultRolePlannerSettings);
    planning.observe([pool], [demand]);
    return planning.plan([pool], [demand]).map(({ engineId, role }) => [engineId, role]);
}

// Guards against an outage that lasts for as long as the only engine left does, because its role covers one stage only.
test("the only engine of its models serves both stages, whatever a change costs", () => {
    assert.deepEqual(plan(createPool({ prefill: [createEngine("e1")] })), [["e1", EngineRole.Mixed]]);
    assert.deepEqual(plan(createPool({ decode: [createEngine("e1")] })), [["e1", EngineRole.Mixed]]);
});

test("an engine that is not alone keeps its role unless a change pays", () => {
    const engines = [createEngine("e1")];
    assert.deepEqual(plan(createPool({ prefill: engines, mixedEngines: 1 })), []);
    assert.deepEqual(plan(createPool({ prefill: engines, changingEngines: 1 })), []);
    assert.deepEqual(plan(createPool({ prefill: engines, decode: [createEngine("e2")] })), []);
});
