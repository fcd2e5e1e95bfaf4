import type { EngineScaling } from "../../../version/forwarding/forwardingConfiguration.js";
import {
    countAfterZoneLoss,
    countEngines,
    countZone,
    EngineKind,
    engineKinds,
    type FleetNumbers,
    type KindNumbers,
    noEngines,
} from "./fleetNumbers.js";
import type { EngineNeeds } from "./forecastNeeds.js";

/** What is known of one zone for a plan. */
export interface ZoneLimits {
    readonly zone: string;
    /** Part of the demand that arrives in the zone; the parts of all zones add up to 1. */
    readonly share: number;
    /** Largest number of each kind that can be had at the moment. */
    readonly available: KindNumbers;
}

/** One kind of engine in one zone. */
interface PricedKind {
    readonly zone: ZoneLimits;
    readonly kind: EngineKind;
    readonly price: number;
}

/**
 * Part of a zone's share of the engines that it has in any case; the others are where they are cheapest. Zones are 1.4 ms
 * apart, so callers are served across zones where one has fewer engines than its share.
 */
const shareInZone = 0.5;

/** Price of one second of an engine. */
export function priceOf(scaling: EngineScaling, zone: string, kind: EngineKind): number {
    const price = scaling.zonePrices.get(zone) ?? 1;
    return kind === EngineKind.Reclaimable ? price * (scaling.reclaimablePrice ?? 1) : price;
}

/** Price of one second of all engines. */
export function priceOfFleet(scaling: EngineScaling, fleet: FleetNumbers): number {
    return [...fleet].reduce(
        (sum, [zone, numbers]) =>
            sum + engineKinds.reduce((price, kind) => price + numbers[kind] * priceOf(scaling, zone, kind), 0),
        0,
    );
}

/**
 * Chooses the cheapest numbers that meet the needs, also after the loss of all reclaimable engines of any one zone. Where
 * not enough engines can be had, as many as possible are chosen.
 */
export function planNumbers(
    scaling: EngineScaling,
    zones: readonly ZoneLimits[],
    needs: Pick<EngineNeeds, "total" | "afterLoss">,
): FleetNumbers {
    const maxReclaimable = scaling.reclaimablePrice === undefined ? 0 : Math.min(needs.total, scaling.maxEngines);
    const cheapestFirst = zones
        .flatMap(zone => engineKinds.map(kind => ({ zone, kind, price: priceOf(scaling, zone.zone, kind) })))
        .sort((left, right) => left.price - right.price);
    let best: { readonly fleet: FleetNumbers; readonly shortage: number; readonly price: number; } | undefined;
    for (let reclaimable = 0; reclaimable <= maxReclaimable; reclaimable++) {
        const total = Math.max(needs.total, needs.afterLoss + reclaimable);
        const fleet = fillZones(scaling, zones, cheapestFirst, total, reclaimable);
        const shortage = Math.max(0, needs.total - countEngines(fleet))
            + Math.max(0, needs.afterLoss - countAfterZoneLoss(fleet));
        const price = priceOfFleet(scaling, fleet);
        if (!best || shortage < best.shortage || (shortage === best.shortage && price < best.price)) {
            best = { fleet, shortage, price };
        }
    }
    return best?.fleet ?? new Map();
}

/** @param maxReclaimable the largest number of reclaimable engines in a zone */
function fillZones(
    scaling: EngineScaling,
    zones: readonly ZoneLimits[],
    cheapestFirst: readonly PricedKind[],
    total: number,
    maxReclaimable: number,
): FleetNumbers {
    // Changed in place: hundreds of fleets are filled for a plan.
    const fleet = new Map(zones.map(({ zone }) => [zone, { ...noEngines }]));
    let count = 0;
    const add = ({ zone, available }: ZoneLimits, kind: EngineKind, wanted: number) => {
        const numbers = fleet.get(zone);
        if (!numbers || wanted <= 0) {
            return;
        }
        const limit = kind === EngineKind.Reclaimable
            ? Math.min(available[kind], maxReclaimable)
            : available[kind];
        const room = Math.min(limit - numbers[kind], scaling.maxEngines - countZone(numbers));
        const added = Math.max(0, Math.min(Math.ceil(wanted), room));
        numbers[kind] += added;
        count += added;
    };
    const inZone = ({ zone }: ZoneLimits) => countZone(fleet.get(zone));
    // The minimum of a zone is kept by engines that can't be reclaimed, as far as they can be had.
    zones.forEach(zone => add(zone, EngineKind.Regular, scaling.minEngines));
    zones.forEach(zone => add(zone, EngineKind.Reclaimable, scaling.minEngines - inZone(zone)));
    for (const { zone, kind } of cheapestFirst) {
        add(zone, kind, zone.share * total * shareInZone - inZone(zone));
    }
    for (const { zone, kind } of cheapestFirst) {
        add(zone, kind, total - count);
    }
    return fleet;
}
