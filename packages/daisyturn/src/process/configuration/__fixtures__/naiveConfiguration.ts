import { FailureReason } from "daisyturn-utils";
import { ChangeAction, type ChangeRequest, type ItemChange } from "../../../version/configurationChange.js";
import { type ConfigurationItem, formatItemIdentity, ItemKind } from "../../../version/configurationItems.js";

/** The state of a configuration that a single process stores under one lock. */
export interface NaiveState {
    readonly generation: number;
    readonly items: readonly ConfigurationItem[];
    /** Accepted requests by partner and write id. */
    readonly writes: ReadonlyMap<string, { readonly generation: number; readonly changes: string; }>;
}

/** A generation, or the reason why the change was rejected. */
export type NaiveAnswer = number | FailureReason;

export const emptyNaiveState: NaiveState = { generation: 0, items: [], writes: new Map() };

/** Reference implementation of `publish`: a single process without failures that handles one request at a time. */
export function publishNaively(
    state: NaiveState,
    request: ChangeRequest,
): { readonly state: NaiveState; readonly answer: NaiveAnswer; } {
    const writeKey = `${request.partner} ${request.writeId}`;
    const changes = JSON.stringify(request.changes);
    const earlier = state.writes.get(writeKey);
    if (earlier) {
        const isSame = earlier.changes === changes;
        return { state, answer: isSame ? earlier.generation : FailureReason.IdempotencyKeyReused };
    }
    if (request.expectedGeneration !== undefined && request.expectedGeneration !== state.generation) {
        return { state, answer: FailureReason.Conflict };
    }
    const items = request.changes.reduce(applyNaively, state.items);
    const rejection = findNaiveRejection(state.items, items, request);
    if (rejection) {
        return { state, answer: rejection };
    }
    const generation = state.generation + 1;
    const writes = new Map(state.writes).set(writeKey, { generation, changes });
    return { state: { generation, items, writes }, answer: generation };
}

function identityTextOf(change: ItemChange): string {
    return formatItemIdentity(change.action === ChangeAction.Put ? change.item : change.identity);
}

function applyNaively(items: readonly ConfigurationItem[], change: ItemChange): readonly ConfigurationItem[] {
    const others = items.filter(item => formatItemIdentity(item) !== identityTextOf(change));
    return change.action === ChangeAction.Put ? [...others, change.item] : others;
}

function findNaiveRejection(
    before: readonly ConfigurationItem[],
    after: readonly ConfigurationItem[],
    { partner, changes }: ChangeRequest,
): FailureReason | undefined {
    if (new Set(changes.map(identityTextOf)).size < changes.length) {
        return FailureReason.BadRequest;
    }
    for (const change of changes) {
        if ((change.action === ChangeAction.Put ? change.item : change.identity).partner !== partner) {
            return FailureReason.Forbidden;
        }
        const exists = before.some(item => formatItemIdentity(item) === identityTextOf(change));
        if (change.action === ChangeAction.Remove && !exists) {
            return FailureReason.NotFound;
        }
    }
    for (const change of changes) {
        const rejection = change.action === ChangeAction.Put
            ? findPutRejection(before, after, change.item)
            : findRemovalRejection(after, change.identity);
        if (rejection) {
            return rejection;
        }
    }
    return undefined;
}

function findPutRejection(
    before: readonly ConfigurationItem[],
    after: readonly ConfigurationItem[],
    item: ConfigurationItem,
): FailureReason | undefined {
    const has = (kind: ItemKind, name: string | undefined) =>
        after.some(other => other.kind === kind && other.name === name && other.partner === item.partner);
    switch (item.kind) {
        case ItemKind.Service:
            return has(ItemKind.Profile, item.profile) ? undefined : FailureReason.BadRequest;
        case ItemKind.CallerAccount: {
            if (!item.services.every(name => has(ItemKind.Service, name))) {
                return FailureReason.BadRequest;
            }
            const holders = after.filter(other =>
                other.kind === ItemKind.CallerAccount && other.keyHash === item.keyHash
            );
            return holders.length > 1 ? FailureReason.Conflict : undefined;
        }
        case ItemKind.Hold:
            return after.some(other => other.kind === ItemKind.Target && other.name === item.name)
                ? undefined
                : FailureReason.BadRequest;
        case ItemKind.Target:
            return before.some(other =>
                    other.kind === ItemKind.Target && other.name === item.name && other.partner !== item.partner
                )
                ? FailureReason.Conflict
                : undefined;
        case ItemKind.Profile:
        case ItemKind.Share:
            return undefined;
    }
}

function findRemovalRejection(
    after: readonly ConfigurationItem[],
    { kind, partner, name }: { kind: ItemKind; partner: string; name: string; },
): FailureReason | undefined {
    const isInUse = after.some(item =>
        item.kind === ItemKind.Service && item.partner === partner && kind === ItemKind.Profile && item.profile === name
    );
    return isInUse ? FailureReason.Conflict : undefined;
}
