import type { JsonValue } from "daisyturn-utils";

/** Software versions of the targets of one service, and the wall time at which the last target of each was gone. */
export type VersionTimes = ReadonlyMap<string, number | undefined>;

/** What the store keeps of software versions, for processes that start after all others have ended. */
export interface StoredVersions {
    /** Wall time from which on all versions are recorded. */
    readonly since: number;
    /** The longest time, in milliseconds, for which callers of the fleet resume a stream. */
    readonly longestLifetime: number;
    readonly services: ReadonlyMap<string, VersionTimes>;
}

/** Versions of the listed targets, by service. */
export type ListedVersions = ReadonlyMap<string, ReadonlySet<string>>;

const maxServices = 1_000;
const maxVersions = 200;
const maxNameLength = 300;

/** Decodes the row. Returns undefined if it was not written by this code. */
export function decodeVersions(value: JsonValue | undefined): StoredVersions | undefined {
    if (typeof value !== "object" || !value || Array.isArray(value)) {
        return undefined;
    }
    const { since, longestLifetime, services } = value as { readonly [name: string]: JsonValue | undefined; };
    const decoded = decodeServices(services);
    return isTime(since) && isTime(longestLifetime) && decoded
        ? { since, longestLifetime, services: decoded }
        : undefined;
}

function decodeServices(value: JsonValue | undefined): Map<string, VersionTimes> | undefined {
    if (!Array.isArray(value) || value.length > maxServices) {
        return undefined;
    }
    const services = new Map<string, VersionTimes>();
    for (const entry of value) {
        const [name, versions] = Array.isArray(entry) ? entry : [];
        if (!isName(name) || !Array.isArray(versions) || versions.length > maxVersions) {
            return undefined;
        }
        const times = new Map<string, number | undefined>();
        for (const item of versions) {
            const [version, goneAt] = Array.isArray(item) ? item : [];
            if (!isName(version) || !(goneAt === undefined || isTime(goneAt))) {
                return undefined;
            }
            times.set(version, goneAt);
        }
        services.set(name, times);
    }
    return services;
}

export function encodeVersions({ since, longestLifetime, services }: StoredVersions): JsonValue {
    return {
        since,
        longestLifetime,
        services: [...services].map(([name, versions]) => [
            name,
            [...versions].map(([version, goneAt]) => goneAt === undefined ? [version] : [version, goneAt]),
        ]),
    };
}

function isTime(value: JsonValue | undefined): value is number {
    return typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
}

function isName(value: JsonValue | undefined): value is string {
    return typeof value === "string" && value.length <= maxNameLength;
}

/** Adds what a process sees to a record. Returns the record itself if it says so already. */
export function mergeVersions(
    stored: StoredVersions | undefined,
    listed: ListedVersions,
    longestLifetime: number,
    now: number,
): StoredVersions {
    const { since, services, longestLifetime: known } = stored
        ?? { since: now, services: new Map(), longestLifetime: 0 };
    const longest = Math.max(known, longestLifetime);
    const names = new Set<string>([...services.keys(), ...listed.keys()]);
    const merged = new Map(
        [...names].map(name =>
            [
                name,
                mergeService(services.get(name) ?? new Map(), listed.get(name) ?? new Set(), now - longest, now),
            ] as const
        ),
    );
    const isChanged = !stored || longest !== known
        || [...merged].some(([name, versions]) => !isEqual(versions, services.get(name)));
    return isChanged ? { since, longestLifetime: longest, services: merged } : stored;
}

function mergeService(
    known: VersionTimes,
    listed: ReadonlySet<string>,
    oldest: number,
    now: number,
): VersionTimes {
    const kept = [...known].filter(([version, goneAt]) => listed.has(version) || (goneAt ?? now) > oldest);
    return new Map([
        ...kept.map(([version, goneAt]) => [version, listed.has(version) ? undefined : goneAt ?? now] as const),
        ...[...listed].filter(version => !known.has(version)).map(version => [version, undefined] as const),
    ]);
}

function isEqual(left: VersionTimes, right: VersionTimes | undefined): boolean {
    return left.size === right?.size
        && [...left].every(([version, goneAt]) => right.has(version) && right.get(version) === goneAt);
}

/** Lists the versions that may have begun a stream of a service that is still resumed. */
export function listVersions({ services, longestLifetime }: StoredVersions, service: string, now: number): string[] {
    const versions = [...services.get(service) ?? []];
    return versions.filter(([, goneAt]) => goneAt === undefined || goneAt > now - longestLifetime).map(([name]) =>
        name
    );
}
