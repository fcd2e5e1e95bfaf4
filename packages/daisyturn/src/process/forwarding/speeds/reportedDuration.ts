/** A reported figure never counts for more than this factor in either direction. */
export const maxDurationFactor = 5;
/** Figures above this are taken for errors: no machine is known to work a hundred times as slowly and still answer. */
const maxPlausible = 100;

/** Returns the figure within its bounds; undefined if it is missing, not a positive number, or implausible. */
export function readRelativeDuration(figure: number | undefined): number | undefined {
    return figure !== undefined && figure > 0 && figure <= maxPlausible ? clampFactor(figure) : undefined;
}

export function clampFactor(factor: number): number {
    return Math.min(maxDurationFactor, Math.max(1 / maxDurationFactor, factor));
}

/** The figure that one target reports, as far as it can be known between two reports. */
export interface ReportedDuration {
    /** Records a valid figure. Reports older than the last one are ignored. */
    record(figure: number, reportedAt: number): void;
    /** The expected figure at a monotonic time. */
    at(time: number): number;
    /** Mean of the figures of the last half minute; 1 before there are several. */
    usual(): number;
    /** Applies what another process knows of the usual figure. */
    adoptUsual(figure: number): void;
    /** The last figure and its monotonic time; undefined before the first. */
    last(): { readonly figure: number; readonly reportedAt: number; } | undefined;
}

/** Decay before the target's own rate of change is known. */
const initialDecayMilliseconds = 400;
const minDecayMilliseconds = 150;
const maxDecayMilliseconds = 1_500;
/** The rate of change is that of about this time. */
const changeWindowMilliseconds = 3_000;
/** The usual figure, towards which a report decays, is that of about this time. */
const usualWindowMilliseconds = 30_000;
/** Changes of the figure's logarithm below this are rounding. */
const minChange = 0.05;

/**
 * Creates the state of one target. A report decays towards the target's usual figure, within the time in which the
 * target's reports have changed so far.
 */
export function createReportedDuration(): ReportedDuration {
    let lastLogarithm = 0;
    let reportedAt: number | undefined;
    let usual = 0;
    let usualMilliseconds = 0;
    let changes = 1;
    let changeMilliseconds = initialDecayMilliseconds;

    const decayMilliseconds = () =>
        Math.min(maxDecayMilliseconds, Math.max(minDecayMilliseconds, changeMilliseconds / changes));

    const learn = (logarithm: number, elapsed: number) => {
        const change = Math.abs(logarithm - lastLogarithm);
        const relativeChange = change < minChange
            ? 0
            : Math.min(1, change / Math.max(Math.abs(logarithm - usual), Math.abs(lastLogarithm - usual), minChange));
        const kept = Math.exp(-elapsed / changeWindowMilliseconds);
        // Without reports for a time, nothing is known of the changes in it.
        const observed = Math.min(elapsed, maxDecayMilliseconds);
        changes = 1 + (changes - 1) * kept + relativeChange;
        changeMilliseconds = initialDecayMilliseconds + (changeMilliseconds - initialDecayMilliseconds) * kept
            + observed;
        usualMilliseconds = Math.min(usualWindowMilliseconds, usualMilliseconds + observed);
        usual += (lastLogarithm - usual) * Math.min(1, observed / Math.max(usualMilliseconds, maxDecayMilliseconds));
    };

    return {
        record: (figure, time) => {
            if (reportedAt !== undefined && time < reportedAt) {
                return;
            }
            const logarithm = Math.log(figure);
            if (reportedAt !== undefined) {
                learn(logarithm, time - reportedAt);
            }
            lastLogarithm = logarithm;
            reportedAt = time;
        },
        at: time => {
            const age = Math.max(0, time - (reportedAt ?? time));
            return Math.exp(usual + (lastLogarithm - usual) * Math.exp(-age / decayMilliseconds()));
        },
        // Coordinators that adopt each other's values come to the same one.
        adoptUsual: figure => {
            usual += (Math.log(figure) - usual) / 2;
        },
        usual: () => Math.exp(usual),
        last: () => reportedAt === undefined ? undefined : { figure: Math.exp(lastLogarithm), reportedAt },
    };
}
