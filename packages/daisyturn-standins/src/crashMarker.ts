/** A request whose prompt or body contains this text ends the target that begins to run it. */
export const crashMarker = "<ends-target>";
/** Time from the start of the run to the end of the target. */
export const crashDelayMilliseconds = 30;
/** Time for which a target that ended is down before it starts anew. */
export const crashDownMilliseconds = 1_500;
