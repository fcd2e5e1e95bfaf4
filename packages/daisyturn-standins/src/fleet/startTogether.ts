/**
 * Waits until all starts have settled, then returns their results or throws the error of the first that failed in the
 * order of the list. It does not throw earlier, because the launcher could not end a program that starts later.
 */
export async function startTogether<Started>(starts: readonly Promise<Started>[]): Promise<Started[]> {
    const settled = await Promise.allSettled(starts);
    const failed = settled.find(start => start.status === "rejected");
    if (failed) {
        throw failed.reason;
    }
    return settled.flatMap(start => start.status === "fulfilled" ? [start.value] : []);
}
