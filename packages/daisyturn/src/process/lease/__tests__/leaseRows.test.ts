import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { z } from "zod";
import { processIdentitySchema } from "../../peers/index.js";
import { parseFencingValue } from "../leaseRows.js";

const schema = z.object({
    holder: processIdentitySchema(),
    fencingNumber: z.number().int().positive(),
    leaseMilliseconds: z.number().positive(),
    released: z.boolean(),
    era: z.number().int().nonnegative().optional(),
});
const field = fastCheck.oneof(
    fastCheck.constantFrom<unknown>(
        undefined,
        "",
        "a",
        "a".repeat(257),
        0,
        1,
        -1,
        1.5,
        NaN,
        Infinity,
        2 ** 53,
        true,
        [],
    ),
    fastCheck.anything(),
);
const holder = { processId: "p", incarnation: "i", vmId: "v", availabilityZone: "z", peerAddress: "127.0.0.1:1" };
const row = { holder, fencingNumber: 1, leaseMilliseconds: 3_000, released: false, era: 0 };

// A row that one reader accepts and another refuses would let two processes hold a lease.
test("parses a fencing row as a schema does, with any field replaced", () => {
    assert.deepEqual(parseFencingValue({ ...row, other: 1 }), row);
    const parse = (value: unknown) => parseFencingValue(value as never);
    const names = fastCheck.constantFrom(...Object.keys(row), "other");
    const holderNames = fastCheck.constantFrom(...Object.keys(holder), "other");
    fastCheck.assert(
        fastCheck.property(names, holderNames, field, (name, holderName, value) => {
            for (
                const changed of [value, { ...row, [name]: value }, {
                    ...row,
                    holder: { ...holder, [holderName]: value },
                }]
            ) {
                // Rows are JSON, which has no undefined fields.
                assert.equal(JSON.stringify(parse(changed)), JSON.stringify(schema.safeParse(changed).data));
            }
        }),
        { seed: 1, numRuns: 2_000 },
    );
});
