import {
    ChangeAction,
    type ConfigurationItem,
    EngineRole,
    ItemKind,
    Priority,
    type Profile,
    type PutItem,
    type Service,
    ServiceKind,
    TargetKind,
} from "daisyturn";
import { hashText } from "daisyturn-utils";
import type { EnginePlan, Fleet, ServicePlan } from "./launchFleet.js";

/** Partners of the stand-in fleet. */
export enum PartnerName {
    Nyamata = "nyamata",
    Jizdenka = "jizdenka",
}

/** Services of the stand-in fleet, each owned by one partner. */
export enum ServiceName {
    Valuation = "valuation",
    QuickQuestion = "quick-question",
    Quotes = "quotes",
    SeatPlan = "seat-plan",
    QuickReply = "quick-reply",
    Tickets = "tickets",
}

/** Models that the stand-in engines serve. */
export enum ModelName {
    Large = "large",
    Small = "small",
}

/** Returns the key of the partner's only client account. */
export function createCallerKey(partner: PartnerName): string {
    return `caller-key-of-${partner}`;
}

/** Creates all items of a partner except its targets; `limits` override those of its profiles. */
export function createPartnerItems(partner: PartnerName, limits: Partial<Profile> = {}): ConfigurationItem[] {
    const items = partner === PartnerName.Nyamata ? createNyamataItems(limits) : createJizdenkaItems(limits);
    return [...items, createAccount(partner, items)];
}

/** Creates an item for each target of the fleet. */
export function createTargetItems(
    partner: PartnerName,
    enginePlans: readonly EnginePlan[],
    servicePlans: readonly ServicePlan[],
    fleet: Fleet,
): ConfigurationItem[] {
    const findUrl = (id: string) => [...fleet.engines, ...fleet.services].find(target => target.id === id)?.url ?? "";
    const engines = enginePlans.map((plan): ConfigurationItem => ({
        kind: ItemKind.Target,
        partner,
        name: plan.id,
        targetKind: TargetKind.Engine,
        url: findUrl(plan.id),
        availabilityZone: plan.availabilityZone,
        checksFencingNumbers: plan.checksFencing,
        allowedRoles: [EngineRole.Mixed, EngineRole.Prefill, EngineRole.Decode],
        models: plan.models,
    }));
    const services = servicePlans.map((plan): ConfigurationItem => ({
        kind: ItemKind.Target,
        partner,
        name: plan.id,
        targetKind: TargetKind.PlainService,
        url: findUrl(plan.id),
        availabilityZone: plan.availabilityZone,
    }));
    return [...engines, ...services];
}

/** Creates a change that puts all of the items. */
export function putItems(items: readonly ConfigurationItem[]): PutItem[] {
    return items.map(item => ({ action: ChangeAction.Put, item }));
}

/** Creates a profile with default limits; `limits` override them. */
export function createProfile(
    partner: PartnerName,
    name: string,
    model: ModelName,
    limits: Partial<Profile> = {},
): Profile {
    return {
        kind: ItemKind.Profile,
        partner,
        name,
        model,
        priority: Priority.Interactive,
        firstTokenLimitMilliseconds: 4_000,
        betweenTokensLimitMilliseconds: 200,
        totalLimitMilliseconds: 30_000,
        maxOutputTokens: 400,
        goodputWorth: 1,
        roleChangeCost: 1,
        ...limits,
    };
}

function createNyamataItems(limits: Partial<Profile>): ConfigurationItem[] {
    const partner = PartnerName.Nyamata;
    return [
        createProfile(partner, "dossier", ModelName.Large, { goodputWorth: 3, roleChangeCost: 1, ...limits }),
        createProfile(partner, "counter", ModelName.Small, { firstTokenLimitMilliseconds: 1_500, ...limits }),
        createModelService(partner, ServiceName.Valuation, "dossier"),
        createModelService(partner, ServiceName.QuickQuestion, "counter"),
        createPlainService(partner, ServiceName.Quotes, [
            { method: "POST", pathPrefix: "/confirm", idempotent: false },
            { method: "GET", pathPrefix: "/lookup", idempotent: true },
        ]),
    ];
}

function createJizdenkaItems(limits: Partial<Profile>): ConfigurationItem[] {
    const partner = PartnerName.Jizdenka;
    return [
        createProfile(partner, "timetable", ModelName.Large, { goodputWorth: 1, roleChangeCost: 5, ...limits }),
        createProfile(partner, "reply", ModelName.Small, {
            firstTokenLimitMilliseconds: 1_500,
            roleChangeCost: 5,
            ...limits,
        }),
        createModelService(partner, ServiceName.SeatPlan, "timetable"),
        createModelService(partner, ServiceName.QuickReply, "reply"),
        createPlainService(partner, ServiceName.Tickets, [
            { method: "POST", pathPrefix: "/issue", idempotent: false },
            { method: "GET", pathPrefix: "/reprint", idempotent: true },
        ]),
    ];
}

function createPlainService(partner: PartnerName, name: ServiceName, routes: Service["routes"]): Service {
    return {
        kind: ItemKind.Service,
        partner,
        name,
        serviceKind: ServiceKind.Plain,
        targets: ["service-1", "service-2"],
        routes,
        callLimitMilliseconds: 5_000,
    };
}

function createModelService(partner: PartnerName, name: ServiceName, profile: string): ConfigurationItem {
    return { kind: ItemKind.Service, partner, name, serviceKind: ServiceKind.Model, profile };
}

function createAccount(partner: PartnerName, items: readonly ConfigurationItem[]): ConfigurationItem {
    return {
        kind: ItemKind.CallerAccount,
        partner,
        name: "front-desk",
        keyHash: hashText(createCallerKey(partner)),
        services: items.filter(item => item.kind === ItemKind.Service).map(item => item.name),
        requestsPerSecond: 2_000,
        concurrentRequests: 2_000,
    };
}
