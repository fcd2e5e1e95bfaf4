import { type AcceptedChange, ChangeAction, type ItemChange } from "./configurationChange.js";
import {
    type CallerAccount,
    type ConfigurationItem,
    formatItemIdentity,
    type Hold,
    type ItemIdentity,
    ItemKind,
    type Profile,
    type Service,
    type Share,
    type Target,
} from "./configurationItems.js";
import type { ConfigurationVersion } from "./configurationVersion.js";
import { createLayeredMap, type LayeredMap } from "./layeredMap.js";

/** Name of a partner's only item of kind {@link ItemKind.Share}. */
export const shareItemName = "share";

/** A version from which later versions can be derived without a full copy. */
export interface IndexedVersion extends ConfigurationVersion {
    /** Returns the version after the change. This version does not change. */
    apply(change: Pick<AcceptedChange, "generation" | "changes">): IndexedVersion;
    /** Returns the items of one kind, of all partners. */
    itemsOfKind(kind: ItemKind): IterableIterator<ConfigurationItem>;
}

/** Indexes of a version. Each map shares memory with that of the previous version. */
interface Indexes {
    /** Items by kind, including unknown kinds from newer releases, which are preserved. */
    readonly items: ReadonlyMap<ItemKind, LayeredMap<ConfigurationItem>>;
    readonly accountsByKeyHash: LayeredMap<CallerAccount>;
    readonly targetsByName: LayeredMap<Target>;
    readonly holdsByTarget: LayeredMap<readonly Hold[]>;
}

type Edits<Value> = Map<string, Value | undefined>;

/** Creates the version that consists of exactly these items. */
export function createConfigurationVersion(generation: number, items: Iterable<ConfigurationItem>): IndexedVersion {
    const puts = Array.from(items, (item): ItemChange => ({ action: ChangeAction.Put, item }));
    return createIndexedVersion(generation, applyToIndexes(createEmptyIndexes(), puts));
}

function createIndexedVersion(generation: number, indexes: Indexes): IndexedVersion {
    let allItems: readonly ConfigurationItem[] | undefined;
    let allTargets: readonly Target[] | undefined;

    const findItem = (identity: ItemIdentity) => itemsOf(indexes, identity.kind).get(formatItemIdentity(identity));

    return {
        generation,
        get items() {
            return allItems ??= [...indexes.items.values()].flatMap(map => [...map.values()]);
        },
        get targets() {
            return allTargets ??= [...indexes.targetsByName.values()];
        },
        findItem,
        findProfile: (partner, name) => findItem({ kind: ItemKind.Profile, partner, name }) as Profile | undefined,
        findService: (partner, name) => findItem({ kind: ItemKind.Service, partner, name }) as Service | undefined,
        findAccountByKeyHash: keyHash => indexes.accountsByKeyHash.get(keyHash),
        holdsOn: targetName => indexes.holdsByTarget.get(targetName) ?? [],
        findTarget: targetName => indexes.targetsByName.get(targetName),
        shareWeight: partner => {
            const share = findItem({ kind: ItemKind.Share, partner, name: shareItemName }) as Share | undefined;
            return share?.weight ?? 1;
        },
        itemsOfKind: kind => itemsOf(indexes, kind).values(),
        apply: change => createIndexedVersion(change.generation, applyToIndexes(indexes, change.changes)),
    };
}

const noItems: LayeredMap<ConfigurationItem> = createLayeredMap(new Map());

function itemsOf(indexes: Indexes, kind: ItemKind): LayeredMap<ConfigurationItem> {
    return indexes.items.get(kind) ?? noItems;
}

function createEmptyIndexes(): Indexes {
    return {
        items: new Map(),
        accountsByKeyHash: createLayeredMap(new Map()),
        targetsByName: createLayeredMap(new Map()),
        holdsByTarget: createLayeredMap(new Map()),
    };
}

function applyToIndexes(before: Indexes, changes: readonly ItemChange[]): Indexes {
    const itemEdits = new Map<ItemKind, Edits<ConfigurationItem>>();
    for (const change of changes) {
        const identity = change.action === ChangeAction.Put ? change.item : change.identity;
        const edits = itemEdits.get(identity.kind) ?? new Map<string, ConfigurationItem | undefined>();
        itemEdits.set(identity.kind, edits);
        edits.set(formatItemIdentity(identity), change.action === ChangeAction.Put ? change.item : undefined);
    }
    const items = new Map(before.items);
    for (const [kind, edits] of itemEdits) {
        items.set(kind, itemsOf(before, kind).withEdits(edits));
    }
    return {
        items,
        accountsByKeyHash: indexAccounts(before, itemEdits.get(ItemKind.CallerAccount)),
        targetsByName: indexTargets(before, itemEdits.get(ItemKind.Target)),
        holdsByTarget: indexHolds(before, itemEdits.get(ItemKind.Hold)),
    };
}

function indexAccounts(before: Indexes, edits: Edits<ConfigurationItem> | undefined): LayeredMap<CallerAccount> {
    if (!edits) {
        return before.accountsByKeyHash;
    }
    const indexEdits: Edits<CallerAccount> = new Map();
    for (const identityText of edits.keys()) {
        const earlier = itemsOf(before, ItemKind.CallerAccount).get(identityText) as CallerAccount | undefined;
        if (earlier) {
            indexEdits.set(earlier.keyHash, undefined);
        }
    }
    // Added in a second pass, because a change may move a key from one account to another.
    for (const item of edits.values()) {
        if (item) {
            indexEdits.set((item as CallerAccount).keyHash, item as CallerAccount);
        }
    }
    return before.accountsByKeyHash.withEdits(indexEdits);
}

function indexTargets(before: Indexes, edits: Edits<ConfigurationItem> | undefined): LayeredMap<Target> {
    if (!edits) {
        return before.targetsByName;
    }
    const indexEdits: Edits<Target> = new Map();
    for (const identityText of edits.keys()) {
        const earlier = itemsOf(before, ItemKind.Target).get(identityText);
        if (earlier) {
            indexEdits.set(earlier.name, undefined);
        }
    }
    for (const item of edits.values()) {
        if (item) {
            indexEdits.set(item.name, item as Target);
        }
    }
    return before.targetsByName.withEdits(indexEdits);
}

function indexHolds(before: Indexes, edits: Edits<ConfigurationItem> | undefined): LayeredMap<readonly Hold[]> {
    if (!edits) {
        return before.holdsByTarget;
    }
    const indexEdits: Edits<readonly Hold[]> = new Map();
    for (const [identityText, item] of edits) {
        const earlier = itemsOf(before, ItemKind.Hold).get(identityText) as Hold | undefined;
        const changed = (item ?? earlier) as Hold | undefined;
        if (changed) {
            const present = indexEdits.get(changed.name) ?? before.holdsByTarget.get(changed.name) ?? [];
            const others = present.filter(hold => hold.partner !== changed.partner);
            indexEdits.set(changed.name, item ? [...others, item as Hold] : others);
        }
    }
    return before.holdsByTarget.withEdits(indexEdits);
}
