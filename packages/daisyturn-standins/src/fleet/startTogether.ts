/**
 * Waits until all of these have started. If one has failed, throws its error, but only once all others have started or
 * failed too: a program that starts after its launcher has given up would run on unseen.
 */
export async function startTogether<Started>(starts: readonly Promise<Started>[]): Promise<Started[]> {
    const settled = await Promise.allSettled(starts);
    const failed = settled.find(start => start.status === "rejected");
    if (failed) {
        throw failed.reason;
    }
    return settled.flatMap(start => start.status === "fulfilled" ? [start.value] : []);
}
