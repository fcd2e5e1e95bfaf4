import { EventKind } from "daisyturn-utils";
import type { TimedEvent } from "../timeLine/index.js";

/** Prompts of one route in one part of their order by size. Calls that were sent again count each time. */
export interface SizeRow {
    readonly route: string;
    readonly part: string;
    readonly ended: number;
    readonly served: number;
    /** Served of those that ended, against the same of all of the route; 1 where the part fares as well as all. */
    readonly ratio?: number;
}

interface Count {
    ended: number;
    served: number;
}

/** A part of all prompts in the order of their size, as fractions from the smallest. */
interface Part {
    readonly name: string;
    readonly from: number;
    readonly to: number;
}

const parts: readonly Part[] = [
    { name: "all", from: 0, to: 1 },
    { name: "smallest half", from: 0, to: 0.5 },
    { name: "next fifth", from: 0.5, to: 0.7 },
    { name: "fifth below the largest tenth", from: 0.7, to: 0.9 },
    { name: "largest tenth", from: 0.9, to: 1 },
];
const sizePattern = /^(\d+):(\d+)\/(\d+)$/;

/** Sums the counts by size that the processes have logged, by route, and splits them into parts of their order. */
export async function sumSizes(events: AsyncIterable<TimedEvent>): Promise<readonly SizeRow[]> {
    const routes = new Map<string, Map<number, Count>>();
    for await (const { kind, fields } of events) {
        if (kind === EventKind.PromptsBySize) {
            const classes = routes.get(fields["route"] ?? "") ?? new Map<number, Count>();
            routes.set(fields["route"] ?? "", classes);
            addCounts(classes, fields["sizes"] ?? "");
        }
    }
    return [...routes].sort(([left], [right]) => left < right ? -1 : 1).flatMap(([route, classes]) =>
        splitRoute(route, classes)
    );
}

function addCounts(classes: Map<number, Count>, sizes: string): void {
    for (const size of sizes.split(",")) {
        const [, leastSize, served, ended] = sizePattern.exec(size) ?? [];
        if (leastSize === undefined) {
            continue;
        }
        const count = classes.get(Number(leastSize)) ?? { ended: 0, served: 0 };
        classes.set(Number(leastSize), { ended: count.ended + Number(ended), served: count.served + Number(served) });
    }
}

function splitRoute(route: string, classes: ReadonlyMap<number, Count>): readonly SizeRow[] {
    const ordered = [...classes].sort(([left], [right]) => left - right).map(([, count]) => count);
    const total = ordered.reduce((sum, { ended }) => sum + ended, 0);
    const shareOfAll = shareOf(cutOut(ordered, 0, total));
    return parts.map(({ name, from, to }) => {
        const count = cutOut(ordered, from * total, to * total);
        return {
            route,
            part: name,
            ended: Math.round(count.ended),
            served: Math.round(count.served),
            ratio: shareOfAll > 0 ? shareOf(count) / shareOfAll : undefined,
        };
    });
}

/** What stands between two places of the order; a class that is cut counts by its fraction. */
function cutOut(ordered: readonly Count[], from: number, to: number): Count {
    const sum = { ended: 0, served: 0 };
    let begin = 0;
    for (const { ended, served } of ordered) {
        const inside = Math.max(0, Math.min(to, begin + ended) - Math.max(from, begin));
        sum.ended += inside;
        sum.served += ended > 0 ? served * inside / ended : 0;
        begin += ended;
    }
    return sum;
}

function shareOf({ ended, served }: Count): number {
    return ended > 0 ? served / ended : 0;
}
