import type { ForwardingSettings } from "./forwardingSettings.js";

/** Store state relayed by a coordinator is valid for this fraction of the time within which it must be applied. */
const stateAgeFraction = 0.75;

/** Returns how old state of the store that a coordinator relays may be, in milliseconds. */
export function computeMaxStateAge(settings: ForwardingSettings): number {
    return computeApplyLimit(settings) * stateAgeFraction;
}

/** Returns the time from the store's acknowledgement of a change until the change must be applied, in milliseconds. */
export function computeApplyLimit({ drainMilliseconds, configurationMilliseconds }: ForwardingSettings): number {
    return Math.min(drainMilliseconds, configurationMilliseconds);
}
