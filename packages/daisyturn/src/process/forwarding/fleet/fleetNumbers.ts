/** Kinds of engine that are counted, ordered and priced separately. */
export enum EngineKind {
    Regular = "regular",
    /** May be taken away at short notice, together with all such engines of its zone. */
    Reclaimable = "reclaimable",
}

export const engineKinds: readonly EngineKind[] = [EngineKind.Regular, EngineKind.Reclaimable];

/** Numbers of engines of each kind in one availability zone. */
export type KindNumbers = Readonly<Record<EngineKind, number>>;

/** Numbers of engines by availability zone. */
export type FleetNumbers = ReadonlyMap<string, KindNumbers>;

export const noEngines: KindNumbers = { [EngineKind.Regular]: 0, [EngineKind.Reclaimable]: 0 };

export function countZone(numbers: KindNumbers | undefined): number {
    return numbers ? numbers[EngineKind.Regular] + numbers[EngineKind.Reclaimable] : 0;
}

export function countEngines(fleet: FleetNumbers): number {
    return [...fleet.values()].reduce((sum, numbers) => sum + countZone(numbers), 0);
}

/** Number of engines that remain if all reclaimable engines of the zone that has the most of them are taken away. */
export function countAfterZoneLoss(fleet: FleetNumbers): number {
    return countEngines(fleet) - Math.max(0, ...[...fleet.values()].map(numbers => numbers[EngineKind.Reclaimable]));
}

/** Changes one number by `difference`. */
export function addEngines(fleet: FleetNumbers, zone: string, kind: EngineKind, difference: number): FleetNumbers {
    const numbers = fleet.get(zone) ?? noEngines;
    return new Map(fleet).set(zone, { ...numbers, [kind]: numbers[kind] + difference });
}
