import type {
    CallerAccount,
    ConfigurationItem,
    Hold,
    ItemIdentity,
    Profile,
    Service,
    Target,
} from "./configurationItems.js";

/** Immutable configuration of one generation. A request uses the version under which it was accepted until it ends. */
export interface ConfigurationVersion {
    readonly generation: number;
    readonly items: readonly ConfigurationItem[];
    findItem(identity: ItemIdentity): ConfigurationItem | undefined;
    findProfile(partner: string, name: string): Profile | undefined;
    findService(partner: string, name: string): Service | undefined;
    findAccountByKeyHash(keyHash: string): CallerAccount | undefined;
    /** Returns all partners' holds on the target. */
    holdsOn(targetName: string): readonly Hold[];
    /** A target's name is unique across partners. The first partner to register it owns it. */
    findTarget(targetName: string): Target | undefined;
    readonly targets: readonly Target[];
    /** Weight of a partner when engine time is shared; 1 if the partner has no share item. */
    shareWeight(partner: string): number;
}
