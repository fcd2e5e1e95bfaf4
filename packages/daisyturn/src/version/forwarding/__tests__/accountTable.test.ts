import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createAccountTable } from "../createAccountTable.js";

describe("createAccountTable", () => {
    it("finds the account of each of its keys", () => {
        const table = createAccountTable([{ name: "a", keys: ["k1", "k2"] }, { name: "b", keys: ["k3"] }]);
        assert.deepEqual(["k1", "k2", "k3", "k4", ""].map(key => table.find(key)?.name), [
            "a",
            "a",
            "b",
            undefined,
            undefined,
        ]);
        assert.equal(table.keyCount, 3);
    });

    it("does not find names of an object's own members", () => {
        const table = createAccountTable([{ name: "a", keys: ["k1"] }]);
        assert.deepEqual(["constructor", "__proto__", "toString"].map(table.find), [undefined, undefined, undefined]);
    });

    // Serving such a key would charge one account for the calls of another.
    it("finds nobody by a key that two accounts share, and names both", () => {
        const table = createAccountTable([
            { name: "a", keys: ["shared", "k1"] },
            { name: "b", keys: ["shared"] },
            { name: "c", keys: ["shared"] },
        ]);
        assert.equal(table.find("shared"), undefined);
        assert.equal(table.find("k1")?.name, "a");
        assert.deepEqual([...table.ambiguousAccounts].sort(), ["a", "b", "c"]);
    });
});
