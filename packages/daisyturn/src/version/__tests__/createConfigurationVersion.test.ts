import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    createAccount,
    createHold,
    createModelService,
    createProfile,
    createTarget,
    put,
    remove,
} from "../__fixtures__/items.js";
import type { ItemChange } from "../configurationChange.js";
import { type ConfigurationItem, formatItemIdentity, ItemKind } from "../configurationItems.js";
import type { ConfigurationVersion } from "../configurationVersion.js";
import { createConfigurationVersion, type IndexedVersion } from "../createConfigurationVersion.js";

const partners = ["north", "south"];
const names = ["a", "b", "c"];
const keyHashes = ["1", "2", "3", "4"].map(digit => digit.repeat(64));

const itemArbitrary: fc.Arbitrary<ConfigurationItem> = fc.tuple(
    fc.constantFrom(...partners),
    fc.constantFrom(...names),
    fc.nat(5),
    fc.constantFrom(...keyHashes),
).map(([partner, name, kind, keyHash]) => {
    const items: ConfigurationItem[] = [
        createProfile(partner, name, { model: keyHash }),
        createModelService(partner, name, "a"),
        { ...createAccount(partner, name, []), keyHash },
        createHold(partner, name),
        // Names of targets are unique across partners.
        createTarget(partner, `${partner}-${name}`),
        { kind: ItemKind.Share, partner, name: "share", weight: 2 },
    ];
    return items[kind] as ConfigurationItem;
});
const changeArbitrary: fc.Arbitrary<ItemChange> = fc.oneof(itemArbitrary.map(put), itemArbitrary.map(remove));

/** Keeps only changes that `validateChange` accepts: no item twice, and no key for two accounts. */
function keepValid(version: IndexedVersion, changes: readonly ItemChange[]): ItemChange[] {
    const kept = new Map<string, ItemChange>();
    for (const change of changes) {
        const item = change.action === "put" ? change.item : undefined;
        const owner = item?.kind === ItemKind.CallerAccount ? version.findAccountByKeyHash(item.keyHash) : undefined;
        const isTaken = owner && item && formatItemIdentity(owner) !== formatItemIdentity(item);
        const isTwice = [...kept.values()].some(other =>
            other.action === "put" && other.item.kind === ItemKind.CallerAccount
            && item?.kind === ItemKind.CallerAccount && other.item.keyHash === item.keyHash
        );
        if (!isTaken && !isTwice) {
            kept.set(formatItemIdentity(change.action === "put" ? change.item : change.identity), change);
        }
    }
    return [...kept.values()];
}

function show(version: ConfigurationVersion) {
    const byIdentity = (items: readonly ConfigurationItem[]) =>
        [...items].sort((left, right) => formatItemIdentity(left) < formatItemIdentity(right) ? -1 : 1);
    return {
        generation: version.generation,
        items: byIdentity(version.items),
        targets: byIdentity(version.targets),
        accounts: keyHashes.map(keyHash => version.findAccountByKeyHash(keyHash)),
        holds: names.map(name => byIdentity(version.holdsOn(name))),
        found: names.flatMap(name =>
            partners.map(partner => [
                version.findProfile(partner, name),
                version.findService(partner, name),
                version.findTarget(`${partner}-${name}`),
                version.shareWeight(partner),
            ])
        ),
    };
}

describe("createConfigurationVersion", () => {
    it("derives the same version by changes as from all items, and does not modify earlier versions", () => {
        fc.assert(
            fc.property(fc.array(fc.array(changeArbitrary, { maxLength: 6 }), { maxLength: 40 }), steps => {
                let version = createConfigurationVersion(0, []);
                const earlier: [IndexedVersion, object][] = [];
                for (const step of steps) {
                    earlier.push([version, show(version)]);
                    version = version.apply({ generation: version.generation + 1, changes: keepValid(version, step) });
                    assert.deepEqual(
                        show(version),
                        show(createConfigurationVersion(version.generation, version.items)),
                    );
                }
                earlier.forEach(([one, shown]) => assert.deepEqual(show(one), shown));
            }),
            { seed: 7, numRuns: 60 },
        );
    });

    it("adds and removes single items among thousands over many changes", () => {
        const accounts = Array.from({ length: 2_000 }, (...[, index]) => createAccount("north", `a${index}`, []));
        let version = createConfigurationVersion(1, accounts);
        for (let index = 0; index < 200; index++) {
            const account = createAccount("south", `b${index}`, []);
            const removed = accounts[index] as ConfigurationItem;
            version = version.apply({ generation: version.generation + 1, changes: [put(account), remove(removed)] });
            assert.equal(version.findAccountByKeyHash(account.keyHash), account);
            assert.equal(version.findItem(removed), undefined);
            assert.equal(version.items.length, 2_000);
        }
    });

    it("preserves items of an unknown kind", () => {
        const strange = { kind: "new-kind", partner: "north", name: "x" } as unknown as ConfigurationItem;
        assert.deepEqual(createConfigurationVersion(1, [strange]).items, [strange]);
    });
});
