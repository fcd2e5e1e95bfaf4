import { hashTextTo32Bits } from "daisyturn-utils";
import { type AccountTable, createAccountTable } from "./createAccountTable.js";
import type { ForwardingConfiguration, ForwardRoute, ServiceShare } from "./forwardingConfiguration.js";

/** Lookup table for the routes of one configuration. */
export interface RouteTable {
    readonly configuration: ForwardingConfiguration;
    /** The client accounts; undefined if callers need no keys. */
    readonly accounts: AccountTable | undefined;
    /** Finds the host's route with the longest prefix of the path. */
    find(host: string, path: string): ForwardRoute | undefined;
    /** Returns the minimum target pause between events over the routes to a service; Infinity if none sets one. */
    minPauseAim(service: string): number;
}

/** Groups the routes by host, sorted by descending prefix length, so that the first match is the longest. */
export function createRouteTable(configuration: ForwardingConfiguration): RouteTable {
    const byHost = new Map<string, ForwardRoute[]>();
    for (const route of configuration.routes) {
        const host = route.host.toLowerCase();
        const routes = byHost.get(host) ?? [];
        routes.push(route);
        byHost.set(host, routes);
    }
    const pauseAims = new Map<string, number>();
    for (const { shares, pauseAimMilliseconds = Infinity } of configuration.routes) {
        for (const { service } of shares) {
            pauseAims.set(service, Math.min(pauseAims.get(service) ?? Infinity, pauseAimMilliseconds));
        }
    }
    byHost.forEach(routes => routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length));
    return {
        configuration,
        accounts: configuration.accounts && createAccountTable(configuration.accounts),
        minPauseAim: service => pauseAims.get(service) ?? Infinity,
        find: (host, path) => byHost.get(host.toLowerCase())?.find(route => path.startsWith(route.pathPrefix)),
    };
}

/** Distributes a route's requests to its services by weight. The same `callId` always maps to the same service. */
export function chooseService(route: ForwardRoute, callId: string): string | undefined {
    const shares = route.shares.filter(share => share.weight > 0);
    const total = shares.reduce((sum, share) => sum + share.weight, 0);
    let left = hashTextTo32Bits(callId) / 2 ** 32 * total;
    return shares.find((share: ServiceShare) => (left -= share.weight) < 0)?.service ?? shares.at(-1)?.service;
}
