import assert from "node:assert/strict";
import { test } from "node:test";
import { guardForwardedCall, type RepeatedFields } from "../guardForwardedCall.js";

function fingerprint(changes: Partial<RepeatedFields> = {}): string {
    const fields = { method: "POST", host: "shop.example", url: "/ask/1?n=2" };
    const forwardedFields = ["X-Call", "a1", "Authorization", "Bearer one"];
    return guardForwardedCall({ ...fields, forwardedFields, body: Buffer.from("text"), ...changes }).fingerprint();
}

// Guards against attempts of one request that are not recognized as the same.
test("is the same for the same caller, method, host, path and body", () => {
    const forwardedFields = ["authorization", "Bearer one", "X-Call", "a2", "X-Other", "authorization"];
    assert.equal(fingerprint(), fingerprint({ forwardedFields }));
    assert.match(fingerprint(), /^[\w-]{16}$/);
});

// Guards against a caller that keeps out the requests of others.
test("differs if any of them differs, also where their texts joined are the same", () => {
    const others = [
        fingerprint({ forwardedFields: ["Authorization", "Bearer two"] }),
        fingerprint({ forwardedFields: [] }),
        fingerprint({ method: "GET" }),
        fingerprint({ host: "shop.exampl", url: "e/ask/1?n=2" }),
        fingerprint({ url: "/ask/1?n=3" }),
        fingerprint({ body: Buffer.from("texts") }),
        fingerprint({ url: "/ask/1?n=2\"]t", body: Buffer.from("ext") }),
    ];
    assert.equal(new Set([fingerprint(), ...others]).size, others.length + 1);
});

// Guards against the last part, which is the request's own, and against long identifiers in messages to other processes.
test("has a fingerprint for each part of the prompt but the last, whoever sends it", () => {
    const longId = "f".repeat(300);
    const parts = ["aa", "bb", "aa", longId, "own"].map(partId => ({ partId, tokens: 10 }));
    const prompt = { model: "m", promptTokens: 50, maxOutputTokens: 5, expectedOutputTokens: 5, parts };
    const fields = { method: "POST", host: "shop.example", url: "/ask/1", forwardedFields: [], body: Buffer.from("") };
    const [first, second, long, ...others] = guardForwardedCall({ ...fields, prompt }).partFingerprints();
    assert.deepEqual([first, second, others], ["part:aa", "part:bb", []]);
    assert.match(long ?? "", /^part:[\w-]{16}$/);
    assert.deepEqual(guardForwardedCall(fields).partFingerprints(), []);
});
