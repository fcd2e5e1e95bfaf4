import { hashTextTo32Bits } from "daisyturn-utils";
import type { ForwardingConfiguration, ForwardRoute, ServiceShare } from "./forwardingConfiguration.js";

/** The routes of one configuration, ready to be searched. */
export interface RouteTable {
    readonly configuration: ForwardingConfiguration;
    /** The route of this host with the longest prefix that begins the path. */
    find(host: string, path: string): ForwardRoute | undefined;
    /** Shortest of the pauses that the routes to a service allow between two events; Infinity where none sets one. */
    minPauseAim(service: string): number;
}

/** Groups the routes by host, the longest prefix first, so that the first match is the right one. */
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
        minPauseAim: service => pauseAims.get(service) ?? Infinity,
        find: (host, path) => byHost.get(host.toLowerCase())?.find(route => path.startsWith(route.pathPrefix)),
    };
}

/** Deals a route's requests out to its services by weight; the same identifier always goes to the same service. */
export function chooseService(route: ForwardRoute, callId: string): string | undefined {
    const shares = route.shares.filter(share => share.weight > 0);
    const total = shares.reduce((sum, share) => sum + share.weight, 0);
    let left = hashTextTo32Bits(callId) / 2 ** 32 * total;
    return shares.find((share: ServiceShare) => (left -= share.weight) < 0)?.service ?? shares.at(-1)?.service;
}
