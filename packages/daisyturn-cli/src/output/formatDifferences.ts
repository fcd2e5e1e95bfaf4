import { type ConfigurationItem, type ItemDifference, ItemEffect } from "daisyturn";

const signOfEffect: Readonly<Record<ItemEffect, string>> = {
    [ItemEffect.Added]: "+",
    [ItemEffect.Replaced]: "~",
    [ItemEffect.Removed]: "-",
    [ItemEffect.Unchanged]: "=",
};

/** Formats the effects of a change: one line for each item, followed by one line for each field that differs. */
export function formatDifferences(differences: readonly ItemDifference[]): string {
    return differences.map(formatDifference).join("");
}

function formatDifference({ identity, effect, before, after }: ItemDifference): string {
    const head = `${signOfEffect[effect]} ${identity.kind} ${identity.name}: ${effect}\n`;
    return head + listFields(before, after).join("");
}

function listFields(before: ConfigurationItem | undefined, after: ConfigurationItem | undefined): string[] {
    const previous = toFields(before);
    const updated = toFields(after);
    const names = [...new Set([...Object.keys(previous), ...Object.keys(updated)])].sort();
    return names.flatMap(name => formatField(name, previous[name], updated[name]));
}

function formatField(name: string, before: string | undefined, after: string | undefined): string[] {
    if (before === after) {
        return [];
    }
    const change = before === undefined ? after : after === undefined ? before : `${before} -> ${after}`;
    return [`    ${name}: ${change}\n`];
}

/** Returns the fields except those that identify the item, each as JSON. */
function toFields(item: ConfigurationItem | undefined): Record<string, string> {
    const entries = Object.entries(item ?? {}).filter(([name]) => !["kind", "partner", "name"].includes(name));
    return Object.fromEntries(entries.map(([name, value]) => [name, JSON.stringify(value)]));
}
