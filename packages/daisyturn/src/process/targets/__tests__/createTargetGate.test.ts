import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFakeIdentity, createFakePeerNetworks } from "../../../__fixtures__/fakePeerNetwork.js";
import { createHold, createTarget } from "../../../version/__fixtures__/items.js";
import type { ConfigurationItem } from "../../../version/configurationItems.js";
import { createConfigurationVersion } from "../../../version/createConfigurationVersion.js";
import { PeerMethod } from "../../peers/index.js";
import { createTargetGate } from "../createTargetGate.js";

function createGateBench() {
    const clock = new FakeClock();
    const networks = createFakePeerNetworks(clock);
    const controller = networks.join(createFakeIdentity("p1"));
    const conditions = { isInService: true, leaving: new Set<string>() };
    let version = createConfigurationVersion(1, [createTarget("nyamata", "engine-1")]);
    const gate = createTargetGate({
        configurationManager: { current: () => version },
        peerNetwork: networks.join(createFakeIdentity("p2")),
        clock,
        isVmLeaving: target => conditions.leaving.has(target.name),
        isInService: () => conditions.isInService,
    });
    const setItems = (items: readonly ConfigurationItem[]) => {
        version = createConfigurationVersion(version.generation + 1, items);
    };
    const sendRequest = async (
        method: PeerMethod,
        parameters: { engineId: string; orderId: string; forMilliseconds?: number; },
    ) => (await controller.request("p2", method, parameters, clock.monotonicNow() + 1_000)).unwrapOr({});
    return { clock, gate, conditions, setItems, sendRequest };
}

describe("createTargetGate", () => {
    it("is open only while neither partner has a hold", () => {
        const { gate, setItems } = createGateBench();
        const target = createTarget("nyamata", "engine-1");
        assert.equal(gate.isOpen("engine-1"), true);
        setItems([target, createHold("nyamata", "engine-1"), createHold("jizdenka", "engine-1")]);
        assert.equal(gate.isOpen("engine-1"), false);
        setItems([target, createHold("jizdenka", "engine-1")]);
        assert.equal(gate.isOpen("engine-1"), false);
        setItems([target]);
        assert.equal(gate.isOpen("engine-1"), true);
    });

    it("is closed for unknown targets, for targets of leaving VMs and while the process is out of service", () => {
        const { gate, conditions } = createGateBench();
        assert.equal(gate.isOpen("engine-2"), false);
        conditions.leaving.add("engine-1");
        assert.equal(gate.isOpen("engine-1"), false);
        conditions.leaving.clear();
        conditions.isInService = false;
        assert.equal(gate.isOpen("engine-1"), false);
    });

    it("closes on the controller's request, answers with the work in flight, and opens on release or expiry", async () => {
        const { clock, gate, sendRequest } = createGateBench();
        const endRequest = gate.enter("engine-1");
        const quiesceRequest = { engineId: "engine-1", orderId: "change-1", forMilliseconds: 5_000 };
        assert.deepEqual(await sendRequest(PeerMethod.QuiesceEngine, quiesceRequest), { inFlight: 1 });
        assert.equal(gate.isOpen("engine-1"), false);
        endRequest();
        endRequest();
        assert.deepEqual(await sendRequest(PeerMethod.QuiesceEngine, { ...quiesceRequest, orderId: "change-2" }), {
            inFlight: 0,
        });
        await sendRequest(PeerMethod.ReleaseEngine, { engineId: "engine-1", orderId: "change-1" });
        assert.equal(gate.isOpen("engine-1"), false, "the other order still closes it");
        await clock.advance(5_000);
        assert.equal(gate.isOpen("engine-1"), true);
    });
});
