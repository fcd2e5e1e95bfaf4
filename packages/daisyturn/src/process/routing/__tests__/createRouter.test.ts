import { EventKind, FailureReason } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { EnginePhase, EngineRole } from "../../../ports/engine.js";
import { createProfile } from "../../../version/__fixtures__/items.js";
import { createDecisionBench, createReport, createRoutingRequest } from "../__fixtures__/createDecisionBench.js";
import { PlacementOutcome, type RoutingRequest } from "../router.js";

type Bench = Awaited<ReturnType<typeof createDecisionBench>>;

function place(bench: Bench, fields: Partial<RoutingRequest> = {}, process = 0) {
    const placed = bench.processes[process]!.router.place(createRoutingRequest(bench.clock.wallNow(), fields));
    assert.ok(placed.isOk, placed.isErr ? placed.error.message : "");
    return placed.value;
}

function blocksOf(name: string, count: number): string[] {
    return [...Array(count).keys()].map(index => `${name}-${index}`);
}

describe("placement", () => {
    test("skips engines that are closed, changing, of another model, or that failed the request before", async () => {
        const reports = [
            createReport("closed"),
            createReport("changing", { phase: EnginePhase.Changing }),
            createReport("other-model"),
            createReport("tried"),
            createReport("busy", { queuedPrefillTokens: 9_000 }),
        ];
        const bench = await createDecisionBench({ reports });
        bench.closed.add("closed");
        bench.engines[2]!.models = ["small"];
        await bench.clock.advance(5_500);
        assert.equal(place(bench, { avoid: ["tried"] }).engine, "busy");
        bench.closed.add("busy");
        assert.equal(place(bench, { avoid: ["tried"] }).engine, "tried");
        bench.closed.add("tried");
        const refused = bench.processes[0]!.router.place(createRoutingRequest(bench.clock.wallNow()));
        assert.ok(refused.isErr);
        assert.equal(refused.error.reason, FailureReason.NoTarget);
        bench.stop();
    });

    // Guards against answers that are continued at another software version than the one that began them.
    test("an answer is continued only at the software version that began it, and is refused if no engine has it", async () => {
        const reports = [createReport("old"), createReport("new")];
        const bench = await createDecisionBench({ reports });
        bench.engines[1]!.softwareVersion = "2";
        await bench.clock.advance(5_500);
        for (const [softwareVersion, engine] of [["1", "old"], ["2", "new"]] as const) {
            const placed = place(bench, { requestId: `req-${softwareVersion}`, softwareVersion });
            assert.deepEqual([placed.engine, placed.softwareVersion], [engine, softwareVersion]);
        }
        const request = createRoutingRequest(bench.clock.wallNow(), { requestId: "req-3", softwareVersion: "3" });
        const refused = bench.processes[0]!.router.place(request);
        assert.ok(refused.isErr);
        assert.equal(refused.error.reason, FailureReason.NoTarget);
        bench.stop();
    });

    // Guards against a KV cache that an engine of another software version has computed.
    test("prefill and decode run at one software version", async () => {
        const reports = [
            createReport("prefill-1", { role: EngineRole.Prefill }),
            createReport("prefill-2", { role: EngineRole.Prefill }),
            createReport("decode-1", { role: EngineRole.Decode }),
        ];
        const bench = await createDecisionBench({ reports });
        bench.engines[1]!.softwareVersion = "2";
        await bench.clock.advance(5_500);
        for (let number = 1; number <= 8; number++) {
            const { prefillEngine, engine } = place(bench, { requestId: `req-${number}` });
            assert.deepEqual([prefillEngine, engine], ["prefill-1", "decode-1"]);
        }
        bench.stop();
    });

    test("an engine that no longer reports is not used", async () => {
        const reports = [createReport("silent"), createReport("busy", { queuedPrefillTokens: 9_000 })];
        const bench = await createDecisionBench({ reports });
        bench.engines[0]!.isSilent = true;
        await bench.clock.advance(4_000);
        assert.equal(place(bench).engine, "busy");
        bench.stop();
    });

    test("refuses a request that no engine can start in time, with a time at which one can", async () => {
        const bench = await createDecisionBench({ reports: [createReport("e1", { queuedPrefillTokens: 50_000 })] });
        const request = createRoutingRequest(bench.clock.wallNow());
        const refused = bench.processes[0]!.router.place(request);
        assert.ok(refused.isErr);
        assert.equal(refused.error.reason, FailureReason.DeadlineUnreachable);
        await bench.clock.advance(refused.error.retryAt! - bench.clock.wallNow());
        place(bench);
        bench.stop();
    });
});

describe("reservations", () => {
    const reports = [createReport("e1"), createReport("e2")];
    const createReserved = async () => {
        const bench = await createDecisionBench({ reports });
        const { router, loadView } = bench.processes[0]!;
        const request = createRoutingRequest(bench.clock.wallNow());
        const reservedOption = router.reserve(request, option => option.decode.engineId === "e2");
        const streamsOf = (engineId: string) => loadView.find(engineId)!.streams();
        return { bench, router, request, reservedOption, streamsOf };
    };

    test("only an allowed option is reserved, recorded as sent immediately, and placed", async () => {
        const { bench, router, request, reservedOption, streamsOf } = await createReserved();
        assert.equal(reservedOption?.decode.engineId, "e2");
        assert.equal(streamsOf("e2"), 1);
        const placed = router.place(request);
        assert.ok(placed.isOk && placed.value.engine === "e2");
        assert.deepEqual([streamsOf("e1"), streamsOf("e2")], [0, 1]);
        assert.equal(router.reserve({ ...request, requestId: "req-2" }, () => false), undefined);
        bench.stop();
    });

    test("an engine that closed after the reservation is not used, and its work is removed", async () => {
        const { bench, router, request, streamsOf } = await createReserved();
        bench.closed.add("e2");
        const placed = router.place(request);
        assert.ok(placed.isOk && placed.value.engine === "e1");
        assert.deepEqual([streamsOf("e1"), streamsOf("e2")], [1, 0]);
        bench.stop();
    });

    test("a cancelled reservation leaves no work behind", async () => {
        const { bench, router, request, streamsOf } = await createReserved();
        router.cancelReservation(request.requestId);
        router.cancelReservation(request.requestId);
        assert.equal(streamsOf("e2"), 0);
        bench.stop();
    });
});

describe("several processes on the same reports", () => {
    test("requests sent by a peer are counted after one exchange, and later ones avoid their engine", async () => {
        const bench = await createDecisionBench({ processes: 2, reports: [createReport("e1"), createReport("e2")] });
        const first = place(bench, { promptTokens: 5_000 }, 0).engine;
        await bench.clock.advance(260);
        assert.notEqual(place(bench, { promptTokens: 5_000 }, 1).engine, first);
        bench.stop();
    });

    test("an isolated process counts the requests that it has sent", async () => {
        const bench = await createDecisionBench({ processes: 2, reports: [createReport("e1"), createReport("e2")] });
        bench.networks.isolate("p0");
        const engines = [place(bench, { promptTokens: 5_000 }).engine, place(bench, { promptTokens: 5_000 }).engine];
        assert.deepEqual(engines.sort(), ["e1", "e2"]);
        bench.stop();
    });
});

describe("prefix affinity", () => {
    const reports = [...Array(8).keys()].map(index => createReport(`e${index}`));

    test("processes without contact agree on the preferred engine of a prefix, which differs by prefix", async () => {
        const bench = await createDecisionBench({ processes: 2, reports });
        bench.networks.isolate("p0");
        const preferredEngines = new Set<string>();
        for (let prefix = 0; prefix < 12; prefix++) {
            const fields = { promptBlocks: blocksOf(`prefix${prefix}`, 40), promptTokens: 2_560 };
            const [one, other] = [place(bench, fields, 0), place(bench, fields, 1)];
            assert.equal(one.engine, other.engine);
            preferredEngines.add(one.engine);
            one.end(PlacementOutcome.Completed);
            other.end(PlacementOutcome.Completed);
            await bench.clock.advance(1_000);
        }
        assert.ok(preferredEngines.size >= 4, `${preferredEngines.size} preferred engines`);
        bench.stop();
    });

    test("the preferred engine is not used when waiting for it costs more than its cache saves", async () => {
        const bench = await createDecisionBench({ reports });
        const fields = { promptBlocks: blocksOf("prefix", 20), promptTokens: 1_280 };
        const used = new Set<string>();
        for (let request = 0; request < 12; request++) {
            used.add(place(bench, fields).engine);
        }
        assert.ok(used.size >= 3, `${used.size} engines`);
        bench.stop();
    });

    test("a refused placement leaves no blocks in the cache view", async () => {
        const bench = await createDecisionBench({ reports });
        const blocks = blocksOf("prefix", 20);
        const placement = place(bench, { promptBlocks: blocks, promptTokens: 1_280 });
        const { caches, find } = bench.processes[0]!.loadView;
        assert.equal(caches.match(blocks).countMatchedBlocks(find(placement.engine)!.cache), 20);
        placement.end(PlacementOutcome.Refused);
        assert.equal(caches.match(blocks).countMatchedBlocks(find(placement.engine)!.cache), 0);
        assert.equal(find(placement.engine)!.streams(), 0);
        bench.stop();
    });
});

describe("prefill and decode on two engines", () => {
    const prefill = createReport("prefill", { role: EngineRole.Prefill });
    const decode = createReport("decode", { role: EngineRole.Decode });

    test("a pair is preferred to a mixed engine with a large batch, an idle mixed engine to a pair", async () => {
        const busy = await createDecisionBench({
            reports: [prefill, decode, createReport("mixed", { runningStreams: 40 })],
        });
        const pair = place(busy);
        assert.deepEqual([pair.prefillEngine, pair.engine], ["prefill", "decode"]);
        busy.stop();
        const idle = await createDecisionBench({ reports: [prefill, decode, createReport("mixed")] });
        const single = place(idle);
        assert.deepEqual([single.prefillEngine, single.engine], [undefined, "mixed"]);
        idle.stop();
    });

    test("a pair is no longer chosen after slow transfers have been measured", async () => {
        const mixed = createReport("mixed", { runningStreams: 10 });
        const bench = await createDecisionBench({ reports: [prefill, decode, mixed] });
        const profile = createProfile("nyamata", "long", { firstTokenLimitMilliseconds: 10_000 });
        for (let request = 0; request < 60; request++) {
            const placement = place(bench, { profile });
            if (placement.prefillEngine === undefined) {
                bench.stop();
                return;
            }
            await bench.clock.advance(100);
            placement.recordPrefilled();
            await bench.clock.advance(1_500);
            placement.recordFirstToken();
            placement.end(PlacementOutcome.Completed);
        }
        assert.fail("a pair is still chosen after 60 slow transfers");
    });
});

describe("faulty engines", () => {
    const createFaultyBench = async () => {
        const reports = [createReport("sick"), createReport("e1"), createReport("e2"), createReport("e3")];
        return await createDecisionBench({ processes: 3, reports });
    };

    /** Completes all placements of one process, except that those on the faulty engine end with `outcome`. */
    const serve = (bench: Bench, count: number, outcome: PlacementOutcome, process = 0) => {
        let onFaulty = 0;
        for (let request = 0; request < count; request++) {
            const placement = place(bench, { promptTokens: 10 }, process);
            const isFaulty = placement.engine === "sick";
            onFaulty += isFaulty ? 1 : 0;
            placement.end(isFaulty ? outcome : PlacementOutcome.Completed);
        }
        return onFaulty;
    };

    test("a failing engine is ejected, probed with one request at a time, and readmitted", async () => {
        const bench = await createFaultyBench();
        assert.equal(serve(bench, 100, PlacementOutcome.Failed), 3);
        assert.equal(bench.processes[0]!.eventLog.of(EventKind.EngineDegraded).length, 1);
        await bench.clock.advance(5_000);
        assert.equal(serve(bench, 100, PlacementOutcome.Failed), 1);
        await bench.clock.advance(10_000);
        assert.ok(serve(bench, 100, PlacementOutcome.Completed) > 3);
        assert.equal(bench.processes[0]!.eventLog.of(EventKind.EngineRecovered).length, 1);
        bench.stop();
    });

    test("a process ejects an engine that two peers ejected, and does not report it as its own finding", async () => {
        const bench = await createFaultyBench();
        serve(bench, 100, PlacementOutcome.Failed, 0);
        serve(bench, 100, PlacementOutcome.Failed, 1);
        await bench.clock.advance(500);
        assert.equal(serve(bench, 100, PlacementOutcome.Failed, 2), 0);
        const sentByThird = bench.networks.sent.filter(message => message.from === "p2");
        assert.ok(!JSON.stringify(sentByThird).includes("sick"));
        bench.stop();
    });

    test("only a limited fraction of the engines is ejected", async () => {
        const bench = await createFaultyBench();
        for (let request = 0; request < 200; request++) {
            place(bench, { promptTokens: 10 }).end(PlacementOutcome.Failed);
        }
        assert.equal(bench.processes[0]!.eventLog.of(EventKind.EngineDegraded).length, 1);
        bench.stop();
    });

    test("an engine that accepts requests and never responds is ejected although no request has failed", async () => {
        const bench = await createFaultyBench();
        const profile = createProfile("nyamata", "patient", { firstTokenLimitMilliseconds: 60_000 });
        let onFaulty = 0;
        for (let request = 0; request < 200; request++) {
            const placement = place(bench, { promptTokens: 100, profile });
            onFaulty += placement.engine === "sick" ? 1 : 0;
            if (placement.engine !== "sick") {
                await bench.clock.advance(10);
                placement.recordFirstToken();
                placement.end(PlacementOutcome.Completed);
            }
            await bench.clock.advance(10);
        }
        assert.equal(bench.processes[0]!.eventLog.of(EventKind.EngineDegraded)[0]?.fields.engine, "sick");
        assert.ok(onFaulty < 60, `${onFaulty} of 200`);
        bench.stop();
    });

    test("at most one engine is ejected when all are equally slow", async () => {
        const bench = await createFaultyBench();
        const profile = createProfile("nyamata", "patient", { firstTokenLimitMilliseconds: 60_000 });
        for (let request = 0; request < 40; request++) {
            const placement = place(bench, { promptTokens: 100, profile });
            await bench.clock.advance(3_000);
            placement.recordFirstToken();
            placement.end(PlacementOutcome.Completed);
        }
        assert.ok(bench.processes[0]!.eventLog.of(EventKind.EngineDegraded).length <= 1);
        bench.stop();
    });
});
