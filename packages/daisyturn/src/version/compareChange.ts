import { isDeepStrictEqual } from "node:util";
import { ChangeAction, type ItemChange } from "./configurationChange.js";
import type { ConfigurationItem, ItemIdentity } from "./configurationItems.js";
import type { ConfigurationVersion } from "./configurationVersion.js";
import { identityOf } from "./validateChange.js";

/** Effect of one step of a change on its item. */
export enum ItemEffect {
    Added = "added",
    Replaced = "replaced",
    Removed = "removed",
    /** The item already equals what the step would write. */
    Unchanged = "unchanged",
}

/** The effect of one step, with the item before and after it. */
export interface ItemDifference {
    readonly identity: ItemIdentity;
    readonly effect: ItemEffect;
    readonly before?: ConfigurationItem;
    readonly after?: ConfigurationItem;
}

/** Determines the effect of each step of a change on a version. */
export function compareChange(version: ConfigurationVersion, changes: readonly ItemChange[]): ItemDifference[] {
    return changes.map(change => {
        const identity = identityOf(change);
        const before = version.findItem(identity);
        const after = change.action === ChangeAction.Put ? change.item : undefined;
        return {
            identity,
            effect: findEffect(before, after),
            ...(before && { before }),
            ...(after && { after }),
        };
    });
}

function findEffect(before: ConfigurationItem | undefined, after: ConfigurationItem | undefined): ItemEffect {
    if (!after) {
        return ItemEffect.Removed;
    }
    if (!before) {
        return ItemEffect.Added;
    }
    return isDeepStrictEqual(before, after) ? ItemEffect.Unchanged : ItemEffect.Replaced;
}
