import type { ConfigurationManager, LoadView, ServiceGuard, TargetDirectory } from "daisyturn";
import type { Clock } from "daisyturn-utils";

/** What readiness depends on. */
export interface ReadinessOptions {
    readonly configurationManager: ConfigurationManager;
    readonly serviceGuard: ServiceGuard;
    readonly targets: TargetDirectory;
    readonly loadView: LoadView;
    readonly clock: Clock;
    /** For engines that a version names to tell their load for the first time. */
    readonly firstReportsMilliseconds: number;
}

/** Whether the balancer may send callers here. */
export interface Readiness {
    isReady(): boolean;
    /** Whether every engine has told its load, or has had its time to: a dead engine must not keep the process out. */
    knowsEngines(): boolean;
}

/**
 * Creates the readiness of one process. A process that opened before it had heard from the engines would refuse its
 * first requests for want of one (seen in the rolling restart, and when the first version names the engines).
 */
export function createReadiness(options: ReadinessOptions): Readiness {
    const { configurationManager, serviceGuard, targets, loadView, clock } = options;
    let reportDeadline = clock.monotonicNow() + options.firstReportsMilliseconds;

    const haveAllReported = () => loadView.loads().length >= targets.engines().length;

    configurationManager.onVersion(() => {
        // Versions that name no new engine leave a deadline that has passed as it is.
        if (!haveAllReported()) {
            reportDeadline = Math.max(reportDeadline, clock.monotonicNow() + options.firstReportsMilliseconds);
        }
    });

    const knowsEngines = () => haveAllReported() || clock.monotonicNow() >= reportDeadline;

    const isReady = () => configurationManager.current().generation > 0 && serviceGuard.isInService() && knowsEngines();

    return { isReady, knowsEngines };
}
