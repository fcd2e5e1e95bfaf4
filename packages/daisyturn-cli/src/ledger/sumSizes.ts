import { EventKind } from "daisyturn-utils";
import type { TimedEvent } from "../timeLine/index.js";

/** Prompts of one route in one range of sizes. A call that was sent again counts each time. */
export interface SizeRow {
    readonly route: string;
    readonly part: string;
    readonly ended: number;
    readonly served: number;
    /** Served share of the part divided by that of the whole route; above 1 the part is served better than average. */
    readonly ratio?: number;
}

interface Count {
    ended: number;
    served: number;
}

/** A range of the prompts sorted by size, as fractions of their number, counted from the smallest. */
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

/** Sums the logged counts by size for each route, and splits them into ranges of sizes. */
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
        const [, minSize, served, ended] = sizePattern.exec(size) ?? [];
        if (minSize === undefined) {
            continue;
        }
        const count = classes.get(Number(minSize)) ?? { ended: 0, served: 0 };
        classes.set(Number(minSize), { ended: count.ended + Number(ended), served: count.served + Number(served) });
    }
}

function splitRoute(route: string, classes: ReadonlyMap<number, Count>): readonly SizeRow[] {
    const ordered = [...classes].sort(([left], [right]) => left - right).map(([, count]) => count);
    const total = ordered.reduce((sum, { ended }) => sum + ended, 0);
    const overallShare = computeServedShare(sumRange(ordered, 0, total));
    return parts.map(({ name, from, to }) => {
        const count = sumRange(ordered, from * total, to * total);
        return {
            route,
            part: name,
            ended: Math.round(count.ended),
            served: Math.round(count.served),
            ratio: overallShare > 0 ? computeServedShare(count) / overallShare : undefined,
        };
    });
}

/** Sums the counts between two positions of the order; a size class that is partly inside counts proportionally. */
function sumRange(ordered: readonly Count[], from: number, to: number): Count {
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

function computeServedShare({ ended, served }: Count): number {
    return ended > 0 ? served / ended : 0;
}
