export const testCell = "cell-1";
export const testLeaseName = "controller-cell-1";

/** Length of a pause. Longer than the lease, and than the time to prove the sender's end plus the subsequent wait. */
export const pauseMilliseconds = 14_000;
