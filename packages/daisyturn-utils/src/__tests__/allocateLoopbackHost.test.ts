import assert from "node:assert/strict";
import { test } from "node:test";
import { allocateLoopbackHost } from "../allocateLoopbackHost.js";

test("each host is a loopback address that is unique within the process", () => {
    const hosts = Array.from({ length: 200 }, allocateLoopbackHost);
    assert.equal(new Set(hosts).size, hosts.length);
    assert.ok(hosts.every(host => /^127\.\d+\.\d+\.\d+$/.test(host) && host !== "127.0.0.1"));
});
