import type { TargetViews } from "../views/createTargetViews.js";
import { Mechanism } from "./mechanism.js";

/** The views of a process without what these mechanisms take from them; other mechanisms are left as they are. */
export function switchOffViews(views: TargetViews, switchedOff: ReadonlySet<Mechanism>): TargetViews {
    const nothing = () => undefined;
    let { loads, health, caches, slowdowns, prefillRates, demand } = views;
    if (switchedOff.has(Mechanism.CacheBeliefs)) {
        caches = { ...caches, keptTokens: () => 0 };
    }
    if (switchedOff.has(Mechanism.Pace)) {
        slowdowns = { ...slowdowns, factor: () => 1 };
    }
    if (switchedOff.has(Mechanism.PrefillRates)) {
        prefillRates = { ...prefillRates, observe: nothing, recordRemote: nothing };
    }
    if (switchedOff.has(Mechanism.PeerMessages)) {
        loads = { ...loads, recordPeer: nothing };
        demand = { ...demand, recordPeer: nothing };
        caches = { ...caches, recordRemote: nothing };
    }
    if (switchedOff.has(Mechanism.Trust)) {
        health = { ...health, selectTrusted: targets => targets };
    }
    return { ...views, loads, health, caches, slowdowns, prefillRates, demand };
}
