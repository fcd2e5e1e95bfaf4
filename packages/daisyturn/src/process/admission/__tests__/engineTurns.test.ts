import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createEngineTurns } from "../engineTurns.js";
import type { PartnerUsage, WaitingWork } from "../partnerUsage.js";

const engines = [...Array(8).keys()].map(index => `e${index}`);

function createFixture(waiting: readonly WaitingWork[], usageRates: Readonly<Record<string, number>> = {}) {
    const clock = new FakeClock();
    const partnerUsage = { listWaiting: () => waiting, usageRate: (partner: string) => usageRates[partner] ?? 1_000 };
    const names = [...new Set(waiting.map(work => work.processId))];
    const turns = names.map(processId => ({
        processId,
        turns: createEngineTurns({
            partnerUsage: partnerUsage as unknown as PartnerUsage,
            clock,
            processId,
            weightOf: () => 1,
        }),
    }));
    return { clock, turns };
}

const work = (processId: string, partner: string, engineTime = 500): WaitingWork => ({
    processId,
    partner,
    engineTime,
});

test("an engine is assigned to one process and one partner at a time, and all processes agree", async () => {
    const waiting = [work("p1", "a"), work("p2", "a"), work("p2", "b"), work("p3", "b")];
    const { clock, turns } = createFixture(waiting);
    for (let turn = 0; turn < 50; turn++) {
        for (const engine of engines) {
            const holders = turns.flatMap(one => ["a", "b"].filter(partner => one.turns.hasTurn(partner, engine)));
            assert.equal(holders.length, 1);
            const ofPartner = turns.filter(one => one.turns.hasTurnWithinPartner("a", engine));
            assert.equal(ofPartner.length, 1);
        }
        await clock.advance(100);
    }
});

test("partners get turns by weight, regardless of the number of processes with their work", async () => {
    const waiting = [work("p1", "b"), ...["p1", "p2", "p3", "p4", "p5"].map(name => work(name, "a"))];
    const { clock, turns } = createFixture(waiting);
    let ofB = 0;
    for (let turn = 0; turn < 250; turn++) {
        ofB += engines.filter(engine => turns[0]!.turns.hasTurn("b", engine)).length;
        await clock.advance(100);
    }
    assert.ok(Math.abs(ofB / 2_000 - 0.5) < 0.05, `${ofB} of 2000`);
});

test("a partner with less usage gets more turns", async () => {
    const { clock, turns } = createFixture([work("p1", "a"), work("p2", "b")], { a: 4_000, b: 2_000 });
    let ofB = 0;
    for (let turn = 0; turn < 100; turn++) {
        ofB += engines.filter(engine => turns[1]!.turns.hasTurn("b", engine)).length;
        await clock.advance(100);
    }
    assert.ok(ofB > 560, `${ofB} of 800`);
});

test("while no work waits, every partner has a turn on every engine", () => {
    const partnerUsage = { listWaiting: () => [], usageRate: () => 0 } as unknown as PartnerUsage;
    const turns = createEngineTurns({ partnerUsage, clock: new FakeClock(), processId: "p1", weightOf: () => 1 });
    assert.ok(engines.every(engine => turns.hasTurn("a", engine) && turns.hasTurnWithinPartner("a", engine)));
});
