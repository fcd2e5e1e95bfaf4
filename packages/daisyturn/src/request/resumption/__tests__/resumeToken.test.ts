import { FailureReason, FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type CallerAccount, ItemKind } from "../../../version/configurationItems.js";
import { CompletionForm } from "../../completion/parseCompletion.js";
import { createResumeTokens } from "../resumeToken.js";

const account: CallerAccount = {
    kind: ItemKind.CallerAccount,
    partner: "nyamata",
    name: "assessor",
    keyHash: "",
    services: [],
    requestsPerSecond: 1,
    concurrentRequests: 1,
};

test("a token is valid until it expires, only for its own account and while its key is configured", async () => {
    const clock = new FakeClock();
    const ticket = {
        partner: account.partner,
        account: account.name,
        requestId: "req-1",
        form: CompletionForm.Chat,
        serviceName: "valuation",
        includeUsage: false,
        createdAt: clock.wallNow(),
        requestHash: "hash",
        engine: "engine-1",
        streamId: "str-1",
        offset: 0,
        expiresAt: clock.wallNow() + 1_000,
    };
    const token = createResumeTokens(["old"], clock).sign(ticket);
    const verify = (keys: readonly string[], requestingAccount = account) =>
        createResumeTokens(keys, clock).verify(token, requestingAccount).match({
            Ok: () => "ok",
            Err: failure => failure.reason,
        });

    assert.equal(verify(["new", "old"]), "ok");
    assert.equal(verify(["new"]), FailureReason.BadRequest);
    assert.equal(verify(["old"], { ...account, name: "other" }), FailureReason.Forbidden);
    assert.equal(verify(["old"], { ...account, partner: "jizdenka" }), FailureReason.Forbidden);
    await clock.advance(1_000);
    assert.equal(verify(["old"]), FailureReason.DeadlinePassed);
    assert.throws(() => createResumeTokens([], clock));
    assert.throws(() => createResumeTokens([""], clock));
});
