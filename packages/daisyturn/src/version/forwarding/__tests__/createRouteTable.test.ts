import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseService, createRouteTable } from "../createRouteTable.js";
import { CallKind, type ForwardRoute } from "../forwardingConfiguration.js";

function createRoute(host: string, pathPrefix: string, shares = [{ service: "s", weight: 1 }]): ForwardRoute {
    return {
        name: `${host}${pathPrefix}`,
        host,
        pathPrefix,
        kind: CallKind.Idempotent,
        timeoutMilliseconds: 1_000,
        latencyAimMilliseconds: 100,
        priority: 0,
        shares,
        maxAttempts: 2,
        isResumable: false,
    };
}

const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 };

test("the host's route with the longest matching path prefix is chosen", () => {
    const routes = [
        createRoute("a.example", "/x/"),
        createRoute("a.example", "/x/y/"),
        createRoute("b.example", "/x/"),
    ];
    const table = createRouteTable({ version: 1, routes, services: new Map(), limits });
    assert.equal(table.find("a.example", "/x/y/z")?.pathPrefix, "/x/y/");
    assert.equal(table.find("A.Example", "/x/z")?.pathPrefix, "/x/");
    assert.equal(table.find("a.example", "/x"), undefined);
    assert.equal(table.find("a.example", "/y/x/"), undefined);
    assert.equal(table.find("c.example", "/x/"), undefined);
});

test("requests are distributed by weight, and the same one always goes to the same service", () => {
    const route = createRoute("a", "/", [{ service: "s", weight: 90 }, { service: "t", weight: 10 }, {
        service: "u",
        weight: 0,
    }]);
    const counts = { s: 0, t: 0, u: 0 };
    for (let index = 0; index < 4_000; index++) {
        const service = chooseService(route, `call-${index}`) as keyof typeof counts;
        assert.equal(chooseService(route, `call-${index}`), service);
        counts[service] += 1;
    }
    assert.equal(counts.u, 0);
    assert.ok(counts.t > 250 && counts.t < 550, JSON.stringify(counts));
});
