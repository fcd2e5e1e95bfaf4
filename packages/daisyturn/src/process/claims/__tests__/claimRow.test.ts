import * as fc from "fast-check";
import assert from "node:assert/strict";
import { it } from "node:test";
import { formatClaimRowKey } from "../claimRow.js";

it("maps different scopes to different row keys, whatever characters they contain", () => {
    const part = fc.string({ unit: fc.constantFrom("a", "/", "%", "2", "F", "."), maxLength: 4 });
    const scope = fc.record({ partner: part, account: part, service: part, idempotencyKey: part });
    fc.assert(fc.property(scope, scope, (one, other) => {
        const isSame = JSON.stringify(Object.entries(one)) === JSON.stringify(Object.entries(other));
        assert.equal(formatClaimRowKey(one) === formatClaimRowKey(other), isSame);
    }));
    const one = formatClaimRowKey({ partner: "p", account: "a/b", service: "c", idempotencyKey: "k" });
    const other = formatClaimRowKey({ partner: "p", account: "a", service: "b/c", idempotencyKey: "k" });
    assert.notEqual(one, other);
});
