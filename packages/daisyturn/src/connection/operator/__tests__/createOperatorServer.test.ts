import { createIdSource, FailureReason, hashText, MemoryEventLog, notRun } from "daisyturn-utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { err, ok } from "true-myth/result";
import { TableFaultKind } from "../../../ports/faultyTableService.js";
import {
    type CellProcess,
    type ConfigurationCell,
    createConfigurationCell,
} from "../../../process/configuration/__fixtures__/configurationCell.js";
import {
    createHold,
    createModelService,
    createProfile,
    createTarget,
    put,
    remove,
} from "../../../version/__fixtures__/items.js";
import type { ItemChange } from "../../../version/configurationChange.js";
import { createConfigurationRoutes } from "../configurationRoutes.js";
import { createOperatorServer, type OperatorServer } from "../createOperatorServer.js";
import { OperatorMethod } from "../operatorRoutes.js";

interface Answer {
    readonly status: number;
    readonly body: Record<string, unknown> & {
        readonly error?: { readonly reason: string; readonly verdict: string; };
    };
}

describe("createOperatorServer", () => {
    let cell: ConfigurationCell;
    let process: CellProcess;
    let server: OperatorServer;
    let slowCount: number;
    let slowBegan: Promise<void>;
    let slowEnded: Promise<void>;
    let noteSlow: () => void;
    let endSlow: () => void;

    beforeEach(async () => {
        slowCount = 0;
        slowBegan = new Promise(resolve => {
            noteSlow = resolve;
        });
        slowEnded = new Promise(resolve => {
            endSlow = resolve;
        });
        cell = createConfigurationCell({ timing: { publishMilliseconds: 100, storeCallMilliseconds: 100 } });
        process = cell.start("a");
        const { clock } = cell;
        server = await createOperatorServer({
            listen: { host: "127.0.0.1", port: 0 },
            operators: ["north", "south"].map(partner => ({
                partner,
                name: `${partner}-op`,
                keyHash: hashText(`key-${partner}`),
            })),
            routes: [
                ...createConfigurationRoutes({ ...process, ids: createIdSource("a"), clock }),
                {
                    method: OperatorMethod.Get,
                    path: "/v1/extra/:id",
                    handle: ({ operator, parameters }) =>
                        err(notRun(
                            FailureReason.Overloaded,
                            `${operator.name} ${parameters["id"]}`,
                            clock.wallNow() + 2_500,
                        )),
                },
                {
                    method: OperatorMethod.Get,
                    path: "/v1/slow",
                    handle: async () => {
                        slowCount += 1;
                        noteSlow();
                        await slowEnded;
                        return ok({});
                    },
                },
            ],
            clock,
            eventLog: new MemoryEventLog(),
        });
    });
    afterEach(() => server.close());

    const fetchFrom = (partner: string, method: string, path: string, body?: string) =>
        fetch(`http://127.0.0.1:${server.port}${path}`, {
            method,
            headers: { authorization: `Bearer key-${partner}`, connection: "close" },
            ...(body !== undefined && { body }),
        });

    const call = async (partner: string, method: string, path: string, body?: object): Promise<Answer> => {
        const answered = fetchFrom(partner, method, path, body && JSON.stringify(body));
        const response = await cell.complete(answered);
        return { status: response.status, body: await response.json() as Answer["body"] };
    };

    const publish = (partner: string, writeId: string, ...changes: ItemChange[]) =>
        call(partner, "POST", "/v1/changes", { writeId, changes });

    it("refuses requests with an unknown key, an unknown path, or an invalid or too long body", async () => {
        assert.equal((await call("east", "GET", "/v1/items")).status, 401);
        assert.equal((await call("north", "GET", "/v1/nothing")).status, 404);
        assert.equal((await fetchFrom("north", "POST", "/v1/changes", "{")).status, 400);
        assert.equal((await fetchFrom("north", "POST", "/v1/changes", "x".repeat(1_048_577))).status, 413);
    });

    it("shows a partner its own items, and only targets and holds of the other partner", async () => {
        const own = [
            createProfile("north", "dossier"),
            createTarget("north", "engine-1"),
            createHold("north", "engine-1"),
        ];
        const published = await publish("north", "w-1", ...own.map(put));
        assert.deepEqual([published.status, published.body["generation"]], [200, 1]);
        assert.equal((await call("north", "GET", "/v1/items/profile/dossier")).status, 200);
        assert.equal((await call("south", "GET", "/v1/items/profile/dossier?partner=north")).status, 404);
        const texts = await Promise.all(
            ["/v1/items", "/v1/history", "/v1/targets"].map(async path =>
                JSON.stringify((await call("south", "GET", path)).body)
            ),
        );
        texts.forEach(text => assert.ok(text.includes("engine-1")));
        texts.forEach(text => assert.doesNotMatch(text, /dossier|w-1|north-op/));
    });

    it("lets only the owner change an item", async () => {
        await publish("north", "w-1", put(createTarget("north", "engine-1")));
        assert.equal((await publish("south", "w-2", remove(createTarget("north", "engine-1")))).status, 403);
        assert.equal((await call("south", "DELETE", "/v1/items/target/engine-1")).status, 404);
    });

    it("writes, returns and removes an item by its path, and lists items in pages", async () => {
        const { kind, partner, name, ...fields } = createProfile("north", "dossier");
        const path = `/v1/items/${kind}/${name}`;
        assert.equal((await call(partner, "PUT", path, fields)).status, 200);
        assert.equal((await call(partner, "PUT", path, { ...fields, name: "other" })).status, 400);
        assert.equal((await call(partner, "PUT", path, { ...fields, speed: 1 })).status, 400);
        assert.equal((await call(partner, "PUT", `${path}?expected-generation=0`, fields)).status, 409);
        await publish("north", "w-1", put(createProfile("north", "a")), put(createProfile("north", "b")));
        const first = await call("north", "GET", "/v1/items?kind=profile&limit=2");
        const rest = await call("north", "GET", `/v1/items?kind=profile&limit=2&after=${String(first.body["next"])}`);
        const names = [first, rest].flatMap(page => (page.body["items"] as { name: string; }[]).map(item => item.name));
        assert.deepEqual([names, rest.body["next"]], [["a", "b", "dossier"], undefined]);
        assert.equal((await call(partner, "DELETE", path)).status, 200);
        assert.equal((await call(partner, "GET", path)).status, 404);
    });

    it("returns the effects of a change in a dry run, without applying it", async () => {
        await publish("north", "w-1", put(createProfile("north", "dossier")));
        const changes = [
            put(createProfile("north", "dossier", { maxOutputTokens: 7 })),
            put(createProfile("north", "new")),
        ];
        const tried = await call("north", "POST", "/v1/changes?dry-run=true", { writeId: "w-2", changes });
        const differences = tried.body["differences"] as { effect: string; }[];
        assert.deepEqual(differences.map(one => one.effect), ["replaced", "added"]);
        assert.equal(tried.body["generation"], 1);
        assert.equal(process.configurationManager.current().generation, 1);
    });

    it("returns the outcome of a write id, and cancels a change that was not accepted", async () => {
        await publish("north", "w-1", put(createProfile("north", "dossier")));
        const stateOf = async (method: string, path: string) =>
            (await call("north", method, `/v1/changes/${path}`)).body["state"];
        assert.equal(await stateOf("GET", "w-1"), "accepted");
        assert.equal(await stateOf("GET", "w-2"), "not_accepted");
        assert.equal(await stateOf("POST", "w-2/cancel"), "cancelled");
        assert.equal((await publish("north", "w-2", put(createProfile("north", "late")))).status, 409);
        assert.equal((await call("south", "GET", "/v1/changes/w-1")).body["state"], "not_accepted");
    });

    it("places and lifts only the operator's own holds", async () => {
        await publish("north", "w-1", put(createTarget("north", "engine-1")), put(createTarget("north", "engine-2")));
        assert.equal(
            (await call("south", "POST", "/v1/targets/engine-1/replace", { replacement: "engine-2" })).status,
            200,
        );
        assert.equal((await call("north", "POST", "/v1/targets/engine-1/drain", { note: "disk" })).status, 200);
        assert.equal((await call("north", "POST", "/v1/targets/engine-1/resume")).status, 200);
        assert.equal((await call("north", "POST", "/v1/targets/engine-1/resume")).status, 404);
        assert.deepEqual(process.configurationManager.current().holdsOn("engine-1").map(hold => hold.partner), [
            "south",
        ]);
    });

    it("retires a profile with its services and reports when nothing runs under it", async () => {
        const items = [createProfile("north", "dossier"), createModelService("north", "valuation", "dossier")];
        await publish("north", "w-1", ...items.map(put));
        const pin = process.configurationManager.pin();
        pin.use(items[0]!);
        const order = { writeId: "w-2", kind: "profile", name: "dossier" };
        assert.equal((await call("north", "POST", "/v1/retirements", order)).status, 409);
        const retired = await call("north", "POST", "/v1/retirements", { ...order, withServices: true });
        const again = await call("north", "POST", "/v1/retirements", { ...order, withServices: true });
        assert.deepEqual([retired.body["generation"], again.body["generation"]], [2, 2]);
        assert.equal(process.configurationManager.current().items.length, 0);
        const waiting = call("north", "GET", "/v1/retirements/profile/dossier?wait-milliseconds=500");
        assert.equal((await waiting).body["isComplete"], false);
        pin.release();
        assert.equal((await call("north", "GET", "/v1/retirements/profile/dossier")).body["isComplete"], true);
    });

    it("reports a change without a write id in an outage as not run, and one with it as may have run", async () => {
        cell.store.setDefaultFault(TableFaultKind.ConnectionRefused);
        const fresh = await call("north", "PUT", "/v1/items/profile/p", { ...createProfile("north", "p") });
        assert.deepEqual([fresh.status, fresh.body.error?.verdict], [503, "not_run"]);
        const named = await publish("north", "w-1", put(createProfile("north", "p")));
        assert.deepEqual([named.status, named.body.error?.verdict], [503, "may_have_run"]);
    });

    it("serves routes of other modules with the operator's identity, and sends Retry-After", async () => {
        const response = await fetchFrom("south", "GET", "/v1/extra/a%20b");
        assert.equal(response.headers.get("retry-after"), "3");
        assert.match(await response.text(), /south-op a b/);
    });

    describe("close", () => {
        const openConnection = async () => {
            const socket = connect(server.port, "127.0.0.1");
            await once(socket, "connect");
            socket.on("error", () => undefined);
            return { socket, closed: new Promise(resolve => socket.once("close", resolve)) };
        };

        // Guards against a process that never ends its stop, because a client holds a connection without a request.
        it("does not wait for connections without a request", async () => {
            const unused = await openConnection();
            const partial = await openConnection();
            partial.socket.write("GET /v1/items HTTP/1.1\r\n");
            await server.close();
            await Promise.all([unused.closed, partial.closed]);
        });

        it("answers the running request of a kept connection, and refuses the next one", async () => {
            const { socket, closed } = await openConnection();
            let received = "";
            socket.on("data", data => {
                received += String(data);
            });
            const head = "HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-north\r\n\r\n";
            socket.write(`GET /v1/slow ${head}`);
            await slowBegan;
            const ended = server.close();
            socket.write(`GET /v1/slow ${head}`);
            await new Promise(resolve => setTimeout(resolve, 50));
            endSlow();
            await Promise.all([ended, closed]);
            assert.match(received, /^HTTP\/1.1 200 [^]*HTTP\/1.1 503 [^]*"verdict":"not_run"/);
            assert.equal(slowCount, 1);
        });
    });
});
