import { DutyAnswer } from "../../../ports/duties/fleetDuties.js";

/** Orders for one kind of engine in one zone. Times are monotonic milliseconds. */
export interface LedgerEntry {
    /** The number last asked for; engines that did not come in time no longer count. */
    ordered: number;
    /**
     * The number that the platform has, as far as known. It stays above `ordered` where engines are missing in the list
     * without notice: these may still be there, and a lower total would take them away.
     */
    stated: number;
    /** Listed engines that take work. */
    open: number;
    /** When the number last changed, or an order for it was first accepted. */
    changedAt: number;
    sentAt: number;
    missingSince: number | undefined;
    /** Until this time no more engines are ordered. */
    pausedUntil: number;
    pause: number;
    /** When the order is to be made again because it was not answered. */
    restateAt: number;
    /** When the order is to be made once more, although its repetition was accepted. */
    confirmAt: number;
    retry: number;
    isSending: boolean;
    /** Whether the last order asked for fewer engines and is not yet listed as carried out. */
    isReturning: boolean;
    /** Whether the last order asked for more engines and is not yet listed as carried out. */
    isRising: boolean;
}

/** Margin for the order's way, the engine's first heartbeat and the reading of the list. */
const listingMarginMilliseconds = 3_000;
/** An engine that is given back is drained for 3 s and a little longer until the list no longer has it. */
const removalMilliseconds = 8_000;
/** An engine may be missing for a moment, as with a late heartbeat or during its change of stage, which takes 3 s. */
const missingMilliseconds = 3_500;
/** Pauses after a refusal, or after engines that did not come; each is twice as long as the one before. */
const minPauseMilliseconds = 5_000;
const maxPauseMilliseconds = 60_000;
/** After a zone's reclaimable engines were taken away, there are none for a while. */
const noticePauseMilliseconds = 15_000;
/** Pauses after an order without an answer, or after too many calls. */
const minRetryMilliseconds = 1_000;
const maxRetryMilliseconds = 8_000;
/** An order without an answer may be carried out seconds later, after the one that restated it. */
const lateOrderMilliseconds = 6_000;

/** Creates an entry for which the listed engines count as ordered. */
export function createLedgerEntry(open: number): LedgerEntry {
    return {
        ordered: open,
        stated: open,
        open,
        changedAt: -Infinity,
        sentAt: -Infinity,
        missingSince: undefined,
        pausedUntil: -Infinity,
        pause: 0,
        restateAt: Infinity,
        confirmAt: Infinity,
        retry: 0,
        isSending: false,
        isReturning: false,
        isRising: false,
    };
}

function pauseOrders(entry: LedgerEntry, now: number, atLeast = minPauseMilliseconds): void {
    entry.pause = Math.min(maxPauseMilliseconds, Math.max(atLeast, entry.pause * 2));
    entry.pausedUntil = now + entry.pause;
}

function adoptListed(entry: LedgerEntry): void {
    Object.assign(entry, {
        ordered: entry.open,
        missingSince: undefined,
        isReturning: false,
        isRising: false,
        restateAt: Infinity,
        confirmAt: Infinity,
    });
}

/** Compares the order with what is listed. */
export function updateEntry(entry: LedgerEntry, leavingAtNotice: number, now: number, bootMilliseconds: number): void {
    if (entry.isSending) {
        return;
    }
    if (entry.open < entry.ordered) {
        updateMissing(entry, leavingAtNotice, now, bootMilliseconds);
        return;
    }
    entry.missingSince = undefined;
    entry.isRising = false;
    if (entry.open > entry.ordered) {
        updateSurplus(entry, now);
        return;
    }
    entry.isReturning = false;
    if (entry.open > 0 && entry.pausedUntil < now) {
        entry.pause = 0;
    }
}

function updateMissing(entry: LedgerEntry, leavingAtNotice: number, now: number, bootMilliseconds: number): void {
    if (leavingAtNotice > 0) {
        adoptListed(entry);
        entry.stated = entry.open;
        pauseOrders(entry, now, noticePauseMilliseconds);
        return;
    }
    entry.missingSince ??= now;
    const hasBootTimePassed = now - entry.changedAt > bootMilliseconds + listingMarginMilliseconds;
    if (hasBootTimePassed && now - entry.missingSince > missingMilliseconds) {
        const { isRising } = entry;
        adoptListed(entry);
        if (isRising) {
            pauseOrders(entry, now);
        }
    }
}

function updateSurplus(entry: LedgerEntry, now: number): void {
    if (now - entry.changedAt <= removalMilliseconds || entry.restateAt < Infinity) {
        return;
    }
    if (entry.isReturning) {
        // The order may have been lost, or a late older one was carried out after it.
        entry.isReturning = false;
        entry.restateAt = now;
        entry.changedAt = now;
    }
    else {
        adoptListed(entry);
        entry.stated = Math.max(entry.stated, entry.open);
    }
}

/** Records an order right before it is sent. @returns records its answer; undefined if the order was not sent */
export function beginOrder(
    entry: LedgerEntry,
    desired: number,
    sentAt: number,
): (answer: DutyAnswer | undefined, now: number) => void {
    const { ordered, stated, changedAt, isReturning, isRising, confirmAt } = entry;
    const isChange = desired !== ordered;
    const isUnanswered = entry.restateAt < Infinity;
    Object.assign(entry, { ordered: desired, stated: desired, isSending: true, sentAt });
    if (isChange) {
        Object.assign(entry, { changedAt: sentAt, isReturning: desired < ordered, isRising: desired > ordered });
    }
    return (answer, now) => {
        entry.isSending = false;
        if (answer === DutyAnswer.Accepted) {
            const isConfirmed = confirmAt <= sentAt;
            Object.assign(entry, {
                restateAt: Infinity,
                retry: 0,
                confirmAt: isConfirmed ? Infinity : entry.confirmAt,
                changedAt: isUnanswered ? now : entry.changedAt,
            });
            return;
        }
        entry.retry = Math.min(maxRetryMilliseconds, Math.max(minRetryMilliseconds, entry.retry * 2));
        if (answer === DutyAnswer.Unknown) {
            entry.restateAt = now + entry.retry;
            entry.confirmAt = now + lateOrderMilliseconds;
            return;
        }
        if (isChange) {
            Object.assign(entry, { ordered, stated, changedAt, isReturning, isRising });
        }
        if (answer === DutyAnswer.Rejected) {
            Object.assign(entry, { restateAt: Infinity, confirmAt: Infinity });
            pauseOrders(entry, now);
        }
        else {
            entry.restateAt = isChange ? entry.restateAt : now + entry.retry;
            entry.pausedUntil = Math.max(entry.pausedUntil, now + entry.retry);
        }
    };
}
