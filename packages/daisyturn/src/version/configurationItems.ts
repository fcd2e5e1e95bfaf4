import type { EngineRole, Priority } from "../ports/engine.js";

/** Kinds of items in the fleet's configuration. */
export enum ItemKind {
    Profile = "profile",
    Service = "service",
    CallerAccount = "caller_account",
    Hold = "hold",
    Target = "target",
    Share = "share",
}

/** Identifies an item. Every item belongs to one partner, and only that partner's operators may change it. */
export interface ItemIdentity {
    readonly kind: ItemKind;
    readonly partner: string;
    /** Lower-case letters, digits, `-` and `.`; unique within kind and partner. */
    readonly name: string;
}

/**
 * Limits and priority of a class of model requests. Time limits are durations, because operators set them before any
 * request exists. When a request arrives, they are converted to deadlines, and only the deadlines are stored.
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
    /** Value of one request that is answered in time, in a unit chosen by the partner. */
    readonly goodputWorth: number;
    /** Cost of one role change to the partner, in the unit of `goodputWorth`. */
    readonly roleChangeCost: number;
}

/** Kinds of back ends of a service. */
export enum ServiceKind {
    Model = "model",
    Plain = "plain",
}

/** Calls of a plain service that share a method and a path prefix. */
export interface ServiceRoute {
    readonly method: string;
    /** Path after the service's prefix, with a leading slash. The longest matching prefix applies. */
    readonly pathPrefix: string;
    /** A call that is not idempotent runs at most once. */
    readonly idempotent: boolean;
}

/** A service that callers request by name. A call without a matching route is treated as not idempotent. */
export interface Service extends ItemIdentity {
    readonly kind: ItemKind.Service;
    readonly serviceKind: ServiceKind;
    /** For Model: name of a profile of the same partner. */
    readonly profile?: string;
    /** For Plain: names of targets that provide the service. */
    readonly targets?: readonly string[];
    readonly routes?: readonly ServiceRoute[];
    /** For Plain: timeout of one call in milliseconds. */
    readonly callLimitMilliseconds?: number;
}

/** A caller's key and limits. */
export interface CallerAccount extends ItemIdentity {
    readonly kind: ItemKind.CallerAccount;
    /** SHA-256 of the key, in hexadecimal digits. */
    readonly keyHash: string;
    /** Names of the partner's services that the account may use. */
    readonly services: readonly string[];
    readonly requestsPerSecond: number;
    readonly concurrentRequests: number;
}

/** Reasons for which a partner holds a target. */
export enum HoldKind {
    Drain = "drain",
    Withdraw = "withdraw",
    Replace = "replace",
}

/** A partner's hold on a target, with the target's name. A target gets no new work while any partner holds it. */
export interface Hold extends ItemIdentity {
    readonly kind: ItemKind.Hold;
    readonly holdKind: HoldKind;
    /** For Replace: name of the target that replaces it. */
    readonly replacement?: string;
    readonly note?: string;
}

/** Kinds of targets. */
export enum TargetKind {
    Engine = "engine",
    PlainService = "plain_service",
}

/** A back end that is registered with the fleet. */
export interface Target extends ItemIdentity {
    readonly kind: ItemKind.Target;
    readonly targetKind: TargetKind;
    /** `http://address:port` or `https://address:port`, as the adapter expects. */
    readonly url: string;
    readonly availabilityZone: string;
    /** Whether an engine refuses orders with an outdated fencing number. Default: false. */
    readonly checksFencingNumbers?: boolean;
    /** Roles that may be assigned to the engine; all if absent. */
    readonly allowedRoles?: readonly EngineRole[];
    readonly models?: readonly string[];
}

/** A partner's weight when engine time is shared among partners. `name` is `share`. */
export interface Share extends ItemIdentity {
    readonly kind: ItemKind.Share;
    readonly weight: number;
}

export type ConfigurationItem = Profile | Service | CallerAccount | Hold | Target | Share;

/** Formats an item's identity as a string, for keys of rows and maps. */
export function formatItemIdentity(identity: ItemIdentity): string {
    return `${identity.kind}/${identity.partner}/${identity.name}`;
}
