import { FailureReason } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    createAccount,
    createChangeRequest,
    createHold,
    createModelService,
    createPlainService,
    createProfile,
    createTarget,
    put,
    remove,
} from "../__fixtures__/items.js";
import type { ItemChange } from "../configurationChange.js";
import { TargetKind } from "../configurationItems.js";
import { createConfigurationVersion } from "../createConfigurationVersion.js";
import { validateChange } from "../validateChange.js";

const profile = createProfile("north", "dossier");
const service = createModelService("north", "valuation", "dossier");
const target = createTarget("north", "engine-1");
const account = createAccount("north", "desk", ["valuation"]);
const plainTarget = createTarget("north", "desk-1", TargetKind.PlainService);
const before = createConfigurationVersion(7, [profile, service, target, account, plainTarget]);

function refusalOf(partner: string, ...changes: ItemChange[]): FailureReason | undefined {
    const checked = validateChange(before, createChangeRequest(partner, "w-1", changes));
    return checked.isErr ? checked.error.reason : undefined;
}

describe("validateChange", () => {
    const accepted: [string, string, ItemChange[]][] = [
        ["a service moved to another profile while the old one is removed", "north", [
            remove(profile),
            put(createProfile("north", "short")),
            put(createModelService("north", "valuation", "short")),
        ]],
        ["a profile and its only service removed together", "north", [remove(profile), remove(service)]],
        ["a hold on the other partner's target", "south", [put(createHold("south", "engine-1"))]],
        ["a service on the other partner's plain target", "south", [put(createPlainService("south", "q", ["desk-1"]))]],
        ["a key that is moved from one account to another", "north", [
            remove(account),
            put({ ...account, name: "desk-2" }),
        ]],
    ];
    for (const [what, partner, changes] of accepted) {
        it(`accepts ${what}`, () => assert.equal(refusalOf(partner, ...changes), undefined));
    }

    const refused: [string, FailureReason, string, ItemChange[]][] = [
        ["another partner's item", FailureReason.Forbidden, "south", [put(createProfile("north", "dossier"))]],
        ["the removal of another partner's item", FailureReason.Forbidden, "south", [remove(target)]],
        ["the removal of an item that does not exist", FailureReason.NotFound, "south", [
            remove(createHold("south", "engine-1")),
        ]],
        ["the removal of a profile that a service uses", FailureReason.Conflict, "north", [remove(profile)]],
        ["a service without its profile", FailureReason.BadRequest, "south", [
            put(createModelService("south", "s", "dossier")),
        ]],
        ["a plain service on an engine", FailureReason.BadRequest, "north", [
            put(createPlainService("north", "q", ["engine-1"])),
        ]],
        ["a target's name that another partner has", FailureReason.Conflict, "south", [
            put(createTarget("south", "engine-1")),
        ]],
        ["a key that another account has", FailureReason.Conflict, "south", [
            put({ ...createAccount("south", "desk", []), keyHash: account.keyHash }),
        ]],
        ["one key for two accounts", FailureReason.Conflict, "south", [
            put(createAccount("south", "one", [])),
            put({ ...createAccount("south", "two", []), keyHash: createAccount("south", "one", []).keyHash }),
        ]],
        ["an account for an unknown service", FailureReason.BadRequest, "north", [
            put(createAccount("north", "a", ["x"])),
        ]],
        ["a hold on an unknown target", FailureReason.BadRequest, "south", [put(createHold("south", "engine-9"))]],
        ["a name with a capital letter", FailureReason.BadRequest, "north", [put(createProfile("north", "Dossier"))]],
        ["an unknown field", FailureReason.BadRequest, "north", [
            put({ ...profile, firstTokenLimit: 5 } as typeof profile),
        ]],
        ["one item changed twice", FailureReason.BadRequest, "north", [put(profile), remove(profile)]],
        ["an empty change", FailureReason.BadRequest, "north", []],
    ];
    for (const [what, reason, partner, changes] of refused) {
        it(`refuses ${what}`, () => assert.equal(refusalOf(partner, ...changes), reason));
    }
});
