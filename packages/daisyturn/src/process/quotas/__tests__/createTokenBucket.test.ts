import assert from "node:assert/strict";
import { test } from "node:test";
import { createTokenBucket } from "../createTokenBucket.js";

test("is empty at its start, and names the time of the next token", () => {
    const bucket = createTokenBucket(1_000);
    assert.deepEqual(bucket.take(1_000, 10), { isGranted: false, wait: 100 });
    assert.equal(bucket.take(1_100, 10).isGranted, true);
    assert.equal(bucket.take(1_100, 10).isGranted, false);
});

// Guards against processes that all come back for the same token.
test("names different times, one token apart and bounded", () => {
    const bucket = createTokenBucket(0);
    const waits = Array.from({ length: 8 }, () => Math.round(bucket.take(0, 10).wait));
    assert.deepEqual(waits, [100, 200, 300, 400, 500, 600, 600, 600]);
});

test("holds two tokens at most, however long nobody asks", () => {
    const bucket = createTokenBucket(0);
    const granted = Array.from({ length: 5 }, () => bucket.take(60_000, 10).isGranted);
    assert.deepEqual(granted, [true, true, false, false, false]);
});

// Guards against a limit of 0 that stays forever, because no answer can end it.
test("grants a token now and then at a limit of 0", () => {
    const bucket = createTokenBucket(0);
    assert.equal(bucket.take(10_000, 0).isGranted, false);
    assert.equal(bucket.take(20_000, 0).isGranted, true);
});
