import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallOutcome } from "../../forwarding/index.js";
import { createAccountCounts, createTableConfirmation, otherAccounts } from "../index.js";

const relayAge = 2_000;
const limit = 5_000;

describe("createTableConfirmation", () => {
    it("is not confirmed before the first answer, and until the limit has passed after the last one", async () => {
        const clock = new FakeClock();
        const confirmation = createTableConfirmation(clock, () => relayAge);
        assert.equal(confirmation.isWithin(limit), false);
        confirmation.recordAnswer();
        await clock.advance(limit);
        assert.equal(confirmation.isWithin(limit), true);
        await clock.advance(1);
        assert.equal(confirmation.isWithin(limit), false);
    });

    // Counting from the end of the relay would keep a revoked key valid for longer than the settings allow.
    it("counts from the age of the last report once the reports of a coordinator have ended", async () => {
        const clock = new FakeClock();
        const confirmation = createTableConfirmation(clock, () => relayAge);
        const endRelay = confirmation.beginRelay();
        await clock.advance(60_000);
        assert.equal(confirmation.isWithin(limit), true);
        endRelay(true);
        await clock.advance(limit - relayAge);
        assert.equal(confirmation.isWithin(limit), true);
        await clock.advance(1);
        assert.equal(confirmation.isWithin(limit), false);
    });

    it("is not confirmed by a relay without reports", () => {
        const clock = new FakeClock();
        const confirmation = createTableConfirmation(clock, () => relayAge);
        confirmation.beginRelay()(false);
        assert.equal(confirmation.isWithin(limit), false);
    });
});

describe("createAccountCounts", () => {
    // A series for each account would make the metrics grow with the number of accounts.
    it("lists the accounts with the most calls and the others together", () => {
        const counts = createAccountCounts();
        for (let account = 1; account <= 25; account++) {
            for (let call = 0; call < account; call++) {
                counts.record(`a${account}`, call === 0 ? CallOutcome.Refused : CallOutcome.OnTime);
            }
        }
        counts.record(undefined, CallOutcome.OnTime);
        const listed = counts.list();
        assert.equal(listed.length, 21);
        assert.deepEqual(listed[0], { account: "a25", calls: 25, refused: 1 });
        assert.deepEqual(listed.at(-1), { account: otherAccounts, calls: 1 + 2 + 3 + 4 + 5, refused: 5 });
    });
});
