import { hashText } from "daisyturn-utils";
import { EngineRole, Priority } from "../../ports/engine.js";
import { ChangeAction, type ChangeRequest, type ItemChange } from "../configurationChange.js";
import {
    type CallerAccount,
    type ConfigurationItem,
    type Hold,
    HoldKind,
    type ItemIdentity,
    ItemKind,
    type Profile,
    type Service,
    ServiceKind,
    type Target,
    TargetKind,
} from "../configurationItems.js";

export function createProfile(partner: string, name: string, fields: Partial<Profile> = {}): Profile {
    return {
        kind: ItemKind.Profile,
        partner,
        name,
        model: "large",
        priority: Priority.Interactive,
        firstTokenLimitMilliseconds: 1_600,
        betweenTokensLimitMilliseconds: 36,
        totalLimitMilliseconds: 30_000,
        maxOutputTokens: 400,
        goodputWorth: 1,
        roleChangeCost: 1,
        ...fields,
    };
}

export function createModelService(partner: string, name: string, profile: string): Service {
    return { kind: ItemKind.Service, partner, name, serviceKind: ServiceKind.Model, profile };
}

export function createPlainService(partner: string, name: string, targets: readonly string[]): Service {
    return { kind: ItemKind.Service, partner, name, serviceKind: ServiceKind.Plain, targets };
}

export function createAccount(partner: string, name: string, services: readonly string[]): CallerAccount {
    return {
        kind: ItemKind.CallerAccount,
        partner,
        name,
        keyHash: hashText(`${partner} ${name}`),
        services,
        requestsPerSecond: 10,
        concurrentRequests: 10,
    };
}

export function createTarget(partner: string, name: string, targetKind = TargetKind.Engine): Target {
    return {
        kind: ItemKind.Target,
        partner,
        name,
        targetKind,
        url: "http://127.0.0.1:1",
        availabilityZone: "zone-1",
        ...(targetKind === TargetKind.Engine && { allowedRoles: [EngineRole.Mixed], models: ["large"] }),
    };
}

export function createHold(partner: string, name: string, holdKind = HoldKind.Drain): Hold {
    return { kind: ItemKind.Hold, partner, name, holdKind };
}

export function put(item: ConfigurationItem): ItemChange {
    return { action: ChangeAction.Put, item };
}

export function remove({ kind, partner, name }: ItemIdentity): ItemChange {
    return { action: ChangeAction.Remove, identity: { kind, partner, name } };
}

export function createChangeRequest(
    partner: string,
    writeId: string,
    changes: readonly ItemChange[],
    expectedGeneration?: number,
): ChangeRequest {
    const request = { writeId, partner, operator: `${partner}-operator`, changes };
    return expectedGeneration === undefined ? request : { ...request, expectedGeneration };
}
