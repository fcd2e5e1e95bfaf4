import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFakeIdentity, createFakePeerNetworks } from "../../../__fixtures__/fakePeerNetwork.js";
import { createHold, createTarget } from "../../../version/__fixtures__/items.js";
import type { ConfigurationItem } from "../../../version/configurationItems.js";
import { createConfigurationVersion } from "../../../version/createConfigurationVersion.js";
import { PeerMethod } from "../../peers/index.js";
import { createTargetGate } from "../createTargetGate.js";

function createGateRig() {
    const clock = new FakeClock();
    const networks = createFakePeerNetworks(clock);
    const controller = networks.join(createFakeIdentity("p1"));
    const circumstances = { isInService: true, leaving: new Set<string>() };
    let version = createConfigurationVersion(1, [createTarget("nyamata", "engine-1")]);
    const gate = createTargetGate({
        configurationManager: { current: () => version },
        peerNetwork: networks.join(createFakeIdentity("p2")),
        clock,
        isVmLeaving: target => circumstances.leaving.has(target.name),
        isInService: () => circumstances.isInService,
    });
    const setItems = (items: readonly ConfigurationItem[]) => {
        version = createConfigurationVersion(version.generation + 1, items);
    };
    const ask = async (
        method: PeerMethod,
        parameters: { engineId: string; orderId: string; forMilliseconds?: number; },
    ) => (await controller.request("p2", method, parameters, clock.monotonicNow() + 1_000)).unwrapOr({});
    return { clock, gate, circumstances, setItems, ask };
}

describe("createTargetGate", () => {
    it("is open only while both partners' holds are lifted", () => {
        const { gate, setItems } = createGateRig();
        const target = createTarget("nyamata", "engine-1");
        assert.equal(gate.isOpen("engine-1"), true);
        setItems([target, createHold("nyamata", "engine-1"), createHold("jizdenka", "engine-1")]);
        assert.equal(gate.isOpen("engine-1"), false);
        setItems([target, createHold("jizdenka", "engine-1")]);
        assert.equal(gate.isOpen("engine-1"), false);
        setItems([target]);
        assert.equal(gate.isOpen("engine-1"), true);
    });

    it("is closed for unknown targets, for targets of leaving VMs and out of service", () => {
        const { gate, circumstances } = createGateRig();
        assert.equal(gate.isOpen("engine-2"), false);
        circumstances.leaving.add("engine-1");
        assert.equal(gate.isOpen("engine-1"), false);
        circumstances.leaving.clear();
        circumstances.isInService = false;
        assert.equal(gate.isOpen("engine-1"), false);
    });

    it("closes at the controller's request, tells what is in flight, and opens on release or when the request lapses", async () => {
        const { clock, gate, ask } = createGateRig();
        const leave = gate.enter("engine-1");
        const request = { engineId: "engine-1", orderId: "change-1", forMilliseconds: 5_000 };
        assert.deepEqual(await ask(PeerMethod.QuiesceEngine, request), { inFlight: 1 });
        assert.equal(gate.isOpen("engine-1"), false);
        leave();
        leave();
        assert.deepEqual(await ask(PeerMethod.QuiesceEngine, { ...request, orderId: "change-2" }), { inFlight: 0 });
        await ask(PeerMethod.ReleaseEngine, { engineId: "engine-1", orderId: "change-1" });
        assert.equal(gate.isOpen("engine-1"), false, "the other change still closes it");
        await clock.advance(5_000);
        assert.equal(gate.isOpen("engine-1"), true);
    });
});
