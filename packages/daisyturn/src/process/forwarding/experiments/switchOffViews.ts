import type { TargetViews } from "../views/createTargetViews.js";
import { Mechanism } from "./mechanism.js";

/** Returns the views with these mechanisms switched off where they depend on a view; other mechanisms are unchanged. */
export function switchOffViews(views: TargetViews, switchedOff: ReadonlySet<Mechanism>): TargetViews {
    const doNothing = () => undefined;
    let { loads, health, caches, slowdowns, prefillRates, demand } = views;
    if (switchedOff.has(Mechanism.CacheBeliefs)) {
        caches = { ...caches, keptTokens: () => 0 };
    }
    if (switchedOff.has(Mechanism.Pace)) {
        slowdowns = { ...slowdowns, factor: () => 1 };
    }
    if (switchedOff.has(Mechanism.PrefillRates)) {
        prefillRates = { ...prefillRates, observe: doNothing, recordRemote: doNothing };
    }
    if (switchedOff.has(Mechanism.PeerMessages)) {
        loads = { ...loads, recordPeer: doNothing };
        demand = { ...demand, recordPeer: doNothing };
        caches = { ...caches, recordRemote: doNothing };
    }
    if (switchedOff.has(Mechanism.Trust)) {
        health = { ...health, selectTrusted: targets => targets };
    }
    return { ...views, loads, health, caches, slowdowns, prefillRates, demand };
}
