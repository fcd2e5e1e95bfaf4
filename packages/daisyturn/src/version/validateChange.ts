import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { Result } from "true-myth/result";
import { ChangeAction, type ChangeRequest, type ItemChange } from "./configurationChange.js";
import {
    type CallerAccount,
    type ConfigurationItem,
    formatItemIdentity,
    type Hold,
    type ItemIdentity,
    ItemKind,
    type Service,
    ServiceKind,
    type Target,
    TargetKind,
} from "./configurationItems.js";
import type { IndexedVersion } from "./createConfigurationVersion.js";
import { changeBodySchema, describeProblem } from "./itemSchemas.js";

/**
 * Validates a change against the version to which it applies, and returns the resulting version.
 * Only the items that the change itself puts or removes are checked: a dangling reference of another partner must not
 * prevent this partner from changing its own items.
 */
export function validateChange(before: IndexedVersion, request: ChangeRequest): Result<IndexedVersion, Failure> {
    const problem = findFormProblem(request) ?? findOwnerProblem(before, request);
    if (problem) {
        return Result.err(problem);
    }
    const after = before.apply({ generation: before.generation + 1, changes: request.changes });
    const referenceProblem = findReferenceProblem(before, after, request);
    return referenceProblem ? Result.err(referenceProblem) : Result.ok(after);
}

function findFormProblem(request: ChangeRequest): Failure | undefined {
    const { writeId, changes, expectedGeneration } = request;
    const parsed = changeBodySchema.safeParse({ writeId, changes, expectedGeneration });
    if (!parsed.success) {
        return badRequest(describeProblem(parsed.error));
    }
    const identities = changes.map(change => formatItemIdentity(identityOf(change)));
    return new Set(identities).size < identities.length ? badRequest("an item is changed twice") : undefined;
}

function findOwnerProblem(before: IndexedVersion, request: ChangeRequest): Failure | undefined {
    for (const change of request.changes) {
        const identity = identityOf(change);
        if (identity.partner !== request.partner) {
            return notRun(FailureReason.Forbidden, `${describe(identity)} is not the operator's own`);
        }
        if (change.action === ChangeAction.Remove && !before.findItem(identity)) {
            return notRun(FailureReason.NotFound, `there is no ${describe(identity)}`);
        }
    }
    return undefined;
}

function findReferenceProblem(
    before: IndexedVersion,
    after: IndexedVersion,
    request: ChangeRequest,
): Failure | undefined {
    for (const change of request.changes) {
        const problem = change.action === ChangeAction.Put
            ? findPutProblem(before, after, change.item)
            : findRemovalProblem(after, change.identity);
        if (problem) {
            return problem;
        }
    }
    return undefined;
}

function findPutProblem(
    before: IndexedVersion,
    after: IndexedVersion,
    item: ConfigurationItem,
): Failure | undefined {
    switch (item.kind) {
        case ItemKind.Service:
            return findServiceProblem(after, item);
        case ItemKind.CallerAccount:
            return findAccountProblem(before, after, item);
        case ItemKind.Hold:
            return findHoldProblem(after, item);
        case ItemKind.Target:
            return findTargetProblem(before, item);
        case ItemKind.Profile:
        case ItemKind.Share:
            return undefined;
    }
}

function findServiceProblem(after: IndexedVersion, service: Service): Failure | undefined {
    if (service.serviceKind === ServiceKind.Model) {
        if (service.targets || service.routes || service.callLimitMilliseconds !== undefined) {
            return badRequest(`${describe(service)}: targets, routes and callLimitMilliseconds are for plain services`);
        }
        const isKnown = service.profile !== undefined && after.findProfile(service.partner, service.profile);
        return isKnown ? undefined : badRequest(`${describe(service)}: its profile does not exist`);
    }
    if (service.profile !== undefined) {
        return badRequest(`${describe(service)}: a profile is for model services`);
    }
    if (!service.targets?.length) {
        return badRequest(`${describe(service)}: a plain service needs targets`);
    }
    const missing = service.targets.find(name => after.findTarget(name)?.targetKind !== TargetKind.PlainService);
    return missing === undefined
        ? undefined
        : badRequest(`${describe(service)}: ${missing} is no plain service target`);
}

function findAccountProblem(
    before: IndexedVersion,
    after: IndexedVersion,
    account: CallerAccount,
): Failure | undefined {
    const missing = account.services.find(name => !after.findService(account.partner, name));
    if (missing !== undefined) {
        return badRequest(`${describe(account)}: there is no service ${missing}`);
    }
    const indexed = after.findAccountByKeyHash(account.keyHash);
    const earlier = before.findAccountByKeyHash(account.keyHash);
    const remaining = earlier && after.findItem(earlier) as CallerAccount | undefined;
    const isTaken = remaining?.keyHash === account.keyHash && !isSame(remaining, account);
    return isTaken || !indexed || !isSame(indexed, account)
        ? notRun(FailureReason.Conflict, `${describe(account)}: its key belongs to another account`)
        : undefined;
}

function findHoldProblem(after: IndexedVersion, hold: Hold): Failure | undefined {
    if (!after.findTarget(hold.name)) {
        return badRequest(`${describe(hold)}: there is no such target`);
    }
    if (hold.replacement === undefined) {
        return undefined;
    }
    const isOther = hold.replacement !== hold.name && after.findTarget(hold.replacement);
    return isOther ? undefined : badRequest(`${describe(hold)}: its replacement is no other target`);
}

function findTargetProblem(before: IndexedVersion, target: Target): Failure | undefined {
    const owner = before.findTarget(target.name)?.partner ?? target.partner;
    return owner === target.partner
        ? undefined
        : notRun(FailureReason.Conflict, `${describe(target)}: the name is taken by a target of ${owner}`);
}

/** An item that the same partner still uses cannot be removed. Use by other partners does not prevent removal. */
function findRemovalProblem(after: IndexedVersion, identity: ItemIdentity): Failure | undefined {
    if (identity.kind !== ItemKind.Profile && identity.kind !== ItemKind.Target) {
        return undefined;
    }
    for (const service of after.itemsOfKind(ItemKind.Service) as IterableIterator<Service>) {
        const isUser = identity.kind === ItemKind.Profile
            ? service.profile === identity.name
            : service.targets?.includes(identity.name);
        if (service.partner === identity.partner && isUser) {
            return notRun(FailureReason.Conflict, `${describe(identity)} is used by ${describe(service)}`);
        }
    }
    return undefined;
}

/** Returns the identity of the item that a step of a change affects. */
export function identityOf(change: ItemChange): ItemIdentity {
    const { kind, partner, name } = change.action === ChangeAction.Put ? change.item : change.identity;
    return { kind, partner, name };
}

function isSame(left: ItemIdentity, right: ItemIdentity): boolean {
    return formatItemIdentity(left) === formatItemIdentity(right);
}

function describe(identity: ItemIdentity): string {
    return `${identity.kind} ${identity.partner}/${identity.name}`;
}

function badRequest(message: string): Failure {
    return notRun(FailureReason.BadRequest, message);
}
