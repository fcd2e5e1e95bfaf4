import type { EngineRole, Priority } from "../ports/engine.js";

/** Kinds of item that the fleet's configuration is made of. */
export enum ItemKind {
    Profile = "profile",
    Service = "service",
    CallerAccount = "caller_account",
    Hold = "hold",
    Target = "target",
    Share = "share",
}

/** Names one item. Every item belongs to one partner, and only that partner's operators change it. */
export interface ItemIdentity {
    readonly kind: ItemKind;
    readonly partner: string;
    /** Lower-case letters, digits, `-` and `.`; unique within kind and partner. */
    readonly name: string;
}

/**
 * How a class of model requests is treated. Its limits are lengths of time because an operator writes them before
 * any request exists; on arrival each becomes a deadline, and only deadlines are kept.
 */
export interface Profile extends ItemIdentity {
    readonly kind: ItemKind.Profile;
    readonly model: string;
    readonly adapter?: string;
    readonly priority: Priority;
    readonly firstTokenLimitMilliseconds: number;
    readonly betweenTokensLimitMilliseconds: number;
    readonly totalLimitMilliseconds: number;
    readonly maxOutputTokens: number;
    /** Worth of one request answered in time, in the partner's own unit. */
    readonly goodputWorth: number;
    /** What one role change costs the partner, in the unit of `goodputWorth`. */
    readonly roleChangeCost: number;
}

/** What stands behind a service. */
export enum ServiceKind {
    Model = "model",
    Plain = "plain",
}

/** Calls of a plain service that share a method and a path prefix. */
export interface ServiceRoute {
    readonly method: string;
    /** With a leading slash, after the service's own prefix. The longest match counts. */
    readonly pathPrefix: string;
    /** A call that is not idempotent runs at most once. */
    readonly idempotent: boolean;
}

/** What callers ask for by name. A call without a matching route counts as not idempotent. */
export interface Service extends ItemIdentity {
    readonly kind: ItemKind.Service;
    readonly serviceKind: ServiceKind;
    /** With Model: name of the same partner's profile. */
    readonly profile?: string;
    /** With Plain: names of targets that can answer. */
    readonly targets?: readonly string[];
    readonly routes?: readonly ServiceRoute[];
    /** With Plain: limit of one call in milliseconds. */
    readonly callLimitMilliseconds?: number;
}

/** A caller's key and limits. */
export interface CallerAccount extends ItemIdentity {
    readonly kind: ItemKind.CallerAccount;
    /** SHA-256 of the key in hexadecimal digits. */
    readonly keyHash: string;
    /** Names of the partner's services that the account may use. */
    readonly services: readonly string[];
    readonly requestsPerSecond: number;
    readonly concurrentRequests: number;
}

/** Why a partner keeps a target from taking new work. */
export enum HoldKind {
    Drain = "drain",
    Withdraw = "withdraw",
    Replace = "replace",
}

/** A partner's hold on a target; its `name` is the target's. New work needs that no partner holds the target. */
export interface Hold extends ItemIdentity {
    readonly kind: ItemKind.Hold;
    readonly holdKind: HoldKind;
    /** With Replace: the target that takes its place. */
    readonly replacement?: string;
    readonly note?: string;
}

/** Kinds of back end. */
export enum TargetKind {
    Engine = "engine",
    PlainService = "plain_service",
}

/** A back end known to the fleet. */
export interface Target extends ItemIdentity {
    readonly kind: ItemKind.Target;
    readonly targetKind: TargetKind;
    /** `http://address:port` or `https://address:port`, as the adapter expects. */
    readonly url: string;
    readonly availabilityZone: string;
    /** Whether an engine refuses an order with an old fencing number. Absent counts as false. */
    readonly checksFencingNumbers?: boolean;
    /** Roles that the engine may be given; absent: all. */
    readonly allowedRoles?: readonly EngineRole[];
    readonly models?: readonly string[];
}

/** A partner's weight in the sharing of engine time; `name` is `share`. */
export interface Share extends ItemIdentity {
    readonly kind: ItemKind.Share;
    readonly weight: number;
}

/** One item of the configuration. */
export type ConfigurationItem = Profile | Service | CallerAccount | Hold | Target | Share;

/** The fields that name an item, as one text: for keys of rows and maps. */
export function formatItemIdentity(identity: ItemIdentity): string {
    return `${identity.kind}/${identity.partner}/${identity.name}`;
}
