import { type JsonObject, toJson } from "daisyturn-utils";
import type { AcceptedChange } from "../../version/configurationChange.js";
import {
    type ConfigurationItem,
    formatItemIdentity,
    type ItemIdentity,
    ItemKind,
} from "../../version/configurationItems.js";
import type { ConfigurationVersion } from "../../version/configurationVersion.js";
import { identityOf } from "../../version/validateChange.js";
import type { OperatorIdentity } from "./operatorRoutes.js";

/** Targets and holds concern both partners. All other items are visible to their owner only. */
export function canViewItem(operator: OperatorIdentity, identity: ItemIdentity): boolean {
    return identity.partner === operator.partner
        || identity.kind === ItemKind.Target
        || identity.kind === ItemKind.Hold;
}

/** Removes what the operator may not view: other partners' items, and the write id and operator of their changes. */
export function redactChange(operator: OperatorIdentity, change: AcceptedChange): JsonObject {
    const visible = change.changes.filter(step => canViewItem(operator, identityOf(step)));
    const { generation, partner, acceptedAt } = change;
    const own = change.partner === operator.partner && { writeId: change.writeId, operator: change.operator };
    return { generation, partner, acceptedAt, ...own, changes: visible.map(toJson) };
}

/** Cached, because sorting thousands of items for each page would block the process and delay its streams. */
const sortedItems = new WeakMap<ConfigurationVersion, readonly ConfigurationItem[]>();

/** Lists a version's items, sorted by kind, partner and name. */
export function listSortedItems(version: ConfigurationVersion): readonly ConfigurationItem[] {
    const known = sortedItems.get(version);
    if (known) {
        return known;
    }
    const keyed = version.items.map(item => ({ key: formatItemIdentity(item), item }));
    keyed.sort((left, right) => left.key < right.key ? -1 : 1);
    const sorted = keyed.map(one => one.item);
    sortedItems.set(version, sorted);
    return sorted;
}
