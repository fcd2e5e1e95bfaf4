import { type CallerAccount, type ConfigurationItem, ItemKind, Priority, type Profile, ServiceKind } from "daisyturn";
import { hashText } from "daisyturn-utils";

/** Expected size of a configuration in steady use: client accounts and models. */
export const accountCount = 15_000;
export const modelCount = 26;

/** Creates a profile for measurements. A different `revision` gives a different content. */
export function createMeasuredProfile(index: number, revision = 0): Profile {
    return {
        kind: ItemKind.Profile,
        partner: "north",
        name: `profile-${index}`,
        model: `model-${index}`,
        priority: Priority.Interactive,
        firstTokenLimitMilliseconds: 1_600,
        betweenTokensLimitMilliseconds: 36,
        totalLimitMilliseconds: 30_000,
        maxOutputTokens: 400 + revision,
        goodputWorth: 1,
        roleChangeCost: 1,
    };
}

/** Creates a client account for measurements. */
export function createMeasuredAccount(index: number): CallerAccount {
    return {
        kind: ItemKind.CallerAccount,
        partner: "north",
        name: `account-${index}`,
        keyHash: hashText(`key of account ${index}`),
        services: [`service-${index % modelCount}`],
        requestsPerSecond: 10,
        concurrentRequests: 10,
    };
}

/** Profiles and services come first, because accounts refer to services. */
export function createMeasuredItems(accounts = accountCount): ConfigurationItem[] {
    const indexes = Array.from({ length: modelCount }, (...[, index]) => index);
    return [
        ...indexes.map(index => createMeasuredProfile(index)),
        ...indexes.map((index): ConfigurationItem => ({
            kind: ItemKind.Service,
            partner: "north",
            name: `service-${index}`,
            serviceKind: ServiceKind.Model,
            profile: `profile-${index}`,
        })),
        ...Array.from({ length: accounts }, (...[, index]) => createMeasuredAccount(index)),
    ];
}
