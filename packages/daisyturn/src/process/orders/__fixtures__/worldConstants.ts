export const testCell = "cell-1";
export const testLeaseName = "controller-cell-1";

/** Length of a pause: longer than the lease and than the proof and the wait that may follow it. */
export const pauseMilliseconds = 14_000;
