import type { Closing, ClosingList } from "../../targets/createClosedTargets.js";
import { isAmount, isName, readList } from "./notification.js";

/** A closing list on the wire: closer id, revision, closings. */
type ClosingListEntry = readonly [string, number, readonly Closing[]];

/** A change of stage takes seconds; longer closings are rejected because they would take a target out of service. */
const maxClosingMilliseconds = 60_000;

/** Encodes a list as an entry of a message. */
export function encodeClosingList({ closerId, revision, closings }: ClosingList): ClosingListEntry {
    return [closerId, revision, closings];
}

/**
 * Decodes the lists of a message. Invalid lists and closings are skipped.
 *
 * @throws if the value is not an array
 */
export function readClosingLists(value: unknown): ClosingList[] {
    const entries = readList<ClosingListEntry>(value, [isName, revision => isAmount(revision), Array.isArray]);
    return entries.map(([closerId, revision, closings]) => ({
        closerId,
        revision,
        closings: readList<Closing>(closings, [isName, time => isAmount(time, maxClosingMilliseconds)]),
    }));
}
