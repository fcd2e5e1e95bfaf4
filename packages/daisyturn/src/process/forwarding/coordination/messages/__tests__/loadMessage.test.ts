import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { encodeLoadMessage, type LoadMessage, readLoadMessage } from "../loadMessage.js";
import { parseNotification } from "../notification.js";

const message: LoadMessage = {
    from: "entry-1",
    pause: 120,
    isGroup: false,
    isStoreLost: true,
    isCutOff: true,
    placed: 7,
    work: [{ targetId: "i-1", calls: 3, work: 40, deferredWork: 0, tokens: 900 }],
    kept: [["i-1", "part", 600]],
    demand: [["engines", 1_800]],
    leastDemand: [["engines", 1_500]],
    firstReads: [["engines", 600]],
    failing: ["i-3"],
    closed: [{ closerId: "run-1", revision: 3, closings: [["i-2", 5_000]] }],
    paces: [["i-1", 10, 200, 260]],
    prefills: [["engines", 9_000, 4_000, 190]],
    pauses: [["engines", 48]],
    ended: [["ask", 17_000, true]],
    speeds: [{ targetId: "i-4", figure: 2.5, calls: 3, age: 40, measuredCalls: 2, mean: 160.5, usualMean: 64.2 }],
    groupSpeeds: [{
        targetId: "i-4",
        figure: undefined,
        calls: 3,
        age: 40,
        usual: 64.2,
        recent: 1.25,
        weight: 90,
        usualFigure: 1.5,
    }],
    evidence: 4_294_967_299,
};

function parseLoadMessage(datagram: Buffer): LoadMessage | undefined {
    const notification = parseNotification(datagram);
    return notification && readLoadMessage(notification);
}

/** Creates the encoded parameters of the message, so that a test can change one of them. */
function createParams(): Record<string, unknown> {
    const sent = JSON.parse(encodeLoadMessage(message).toString()) as { params: Record<string, unknown>; };
    return sent.params;
}

function parse(params: unknown): LoadMessage | undefined {
    return parseLoadMessage(Buffer.from(JSON.stringify({ jsonrpc: "2.0", method: "load", params })));
}

test("a decoded message equals the encoded one", () => {
    assert.deepEqual(parseLoadMessage(encodeLoadMessage(message)), message);
});

test("a message with an invalid sender, pause or list is rejected", () => {
    const wrong = [{ from: 5 }, { from: "x".repeat(1_000) }, { pause: -1 }, { pause: 1e300 }, { work: {} }, {
        closed: 1,
    }];
    for (const change of wrong) {
        assert.equal(parse({ ...createParams(), ...change }), undefined, JSON.stringify(change).slice(0, 80));
    }
    // JSON parses a literal beyond the range of a number as Infinity.
    const text = JSON.stringify({ method: "load", params: createParams() }).replace("120", "1e999");
    assert.equal(parseLoadMessage(Buffer.from(text)), undefined);
});

test("an invalid entry is skipped, and the other entries are used", () => {
    const wrong: readonly (readonly [keyof LoadMessage, unknown])[] = [
        ["work", ["i-1", 1, -5_000, 0, 0]],
        ["work", ["i-1", 1, 1e300, 0, 0]],
        ["work", ["", 1, 0, 0, 0]],
        ["work", "i-1"],
        ["kept", ["i-1", "x".repeat(1_000), 600]],
        ["kept", ["i-1", "part", -1]],
        ["demand", ["engines", 1e12]],
        ["failing", ["x".repeat(1_000)]],
        ["failing", "i-4"],
        ["closed", ["run-2", 1, 5]],
        ["closed", ["", 1, []]],
        ["closed", ["run-2", -1, []]],
        ["closed", ["i-2", 5_000]],
        ["paces", ["i-1", 0, 0, -1]],
        ["pauses", ["", 5]],
        ["ended", ["ask", 17_000, "yes"]],
    ];
    for (const [name, entry] of wrong) {
        const params = createParams();
        const read = parse({ ...params, [name]: [entry, ...params[name] as unknown[]] });
        assert.deepEqual(read, message, JSON.stringify(entry).slice(0, 80));
    }
});

test("an invalid closing is skipped, and the other closings of its list are used", () => {
    for (const closing of [["i-9", 1e15], ["i-9", -1], ["", 5], "i-9"]) {
        const read = parse({ ...createParams(), closed: [["run-1", 3, [closing, ["i-2", 5_000]]]] });
        assert.deepEqual(read, message, JSON.stringify(closing));
    }
});

test("any datagram is either rejected or decoded to a message with valid amounts", () => {
    const field = fastCheck.constantFrom(
        "from",
        "pause",
        "placed",
        "work",
        "kept",
        "demand",
        "closed",
        "failing",
        "paces",
        "pauses",
        "ended",
        "evidence",
    );
    const checkAmounts = (value: unknown): void => {
        if (typeof value === "number") {
            assert.ok(value >= 0 && value <= 1e9, String(value));
        }
        else if (typeof value === "object" && value) {
            Object.values(value).forEach(checkAmounts);
        }
    };
    fastCheck.assert(
        fastCheck.property(field, fastCheck.jsonValue(), (name, value) => {
            const read = parse({ ...createParams(), [name]: value });
            assert.ok((read?.placed ?? 0) >= 0 && (read?.placed ?? 0) <= 1e15);
            assert.ok((read?.evidence ?? 0) >= 0 && (read?.evidence ?? 0) <= 1e15);
            checkAmounts({ ...read, placed: 0, evidence: 0, closed: read?.closed.map(({ closings }) => closings) });
            read?.closed.forEach(({ revision }) => assert.ok(revision >= 0 && revision <= 1e15));
        }),
        { seed: 7, numRuns: 1_000 },
    );
    fastCheck.assert(
        fastCheck.property(fastCheck.uint8Array({ maxLength: 200 }), bytes => {
            assert.equal(parseLoadMessage(Buffer.from(bytes)), undefined);
        }),
        { seed: 7, numRuns: 500 },
    );
});
