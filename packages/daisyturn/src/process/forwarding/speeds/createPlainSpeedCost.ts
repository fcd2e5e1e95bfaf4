import type { Random } from "daisyturn-utils";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import type { TargetSpeeds } from "./createTargetSpeeds.js";

/** What {@link createPlainSpeedCost} needs. */
export interface PlainSpeedCostOptions {
    readonly speeds: Pick<TargetSpeeds, "duration" | "calls" | "unknownWork" | "service">;
    readonly random: Random;
    /** Additional milliseconds of a call at the target. */
    readonly extra: (target: ListedTarget) => number;
}

/** Work of the calls behind this one, which it delays, relative to its own work at a target whose slots are all busy. */
const delayOfOthers = 0.5;
/**
 * Part of the wait that all calls of other processes since the reports would cause at one target. Differences of cost below
 * this do not matter.
 */
const spreadFraction = 0.1;
/** Spreads calls over targets that are equally fast, in milliseconds. */
const minSpread = 1;
/** Scale of a triangular distribution between -1 and 1 with a standard deviation of 1. */
const unitDeviation = Math.sqrt(6);

/**
 * Creates the cost of a plain call at a target: the milliseconds until its end, and a part of what it delays others.
 *
 * Many processes choose with the same old reports, and would all send their calls to the target that was reported as the
 * fastest until they receive its queue length. Each one therefore draws the calls at each target from what they may be by
 * now, and adds a random number, by which targets are chosen in proportion to their speed where the costs differ by
 * less than the calls of other processes since the reports can change.
 */
export function createPlainSpeedCost({ speeds, random, extra }: PlainSpeedCostOptions) {
    const drawDeviation = () => (random.fraction() + random.fraction() - 1) * unitDeviation;

    return (target: ListedTarget): number => {
        const { calls, deviation } = speeds.calls(target);
        const slots = Math.max(1, target.slots);
        const duration = Math.max(1, speeds.duration(target) ?? 1);
        const ahead = Math.max(0, calls + deviation * drawDeviation());
        const wait = Math.max(0, ahead + 1 - slots) / slots;
        const cost = duration * (1 + wait + delayOfOthers * (ahead + 1) / slots) + extra(target);
        const relative = duration / Math.max(1, speeds.service(target.service).duration ?? duration);
        const spread = Math.max(minSpread, spreadFraction * speeds.unknownWork(target.service) / slots);
        // Too many calls at a slow target cost more than too few, so that its part of the random number is smaller.
        return cost + spread / Math.max(1, relative) * Math.log(-Math.log(1 - random.fraction()) * relative);
    };
}
