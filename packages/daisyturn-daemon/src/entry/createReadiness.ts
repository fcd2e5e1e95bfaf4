import type { ConfigurationManager, LoadView, ServiceGuard, TargetDirectory } from "daisyturn";
import type { Clock } from "daisyturn-utils";

/** Options of {@link createReadiness}. */
export interface ReadinessOptions {
    readonly configurationManager: ConfigurationManager;
    readonly serviceGuard: ServiceGuard;
    readonly targets: TargetDirectory;
    readonly loadView: LoadView;
    readonly clock: Clock;
    /** Maximum wait for the first load reports of engines that a configuration version adds. */
    readonly firstReportsMilliseconds: number;
}

/** Whether the balancer may send callers here. */
export interface Readiness {
    isReady(): boolean;
    /**
     * Whether every engine has reported its load or the wait for it is over. The wait is limited because an engine that
     * does not respond must not keep the process unready.
     */
    isEngineWaitOver(): boolean;
}

/**
 * Creates the readiness check of one process. A process that became ready before the engines' first load reports, for
 * example in a rolling restart or when the first version names the engines, would refuse its first requests because it
 * knows no engine to send them to.
 */
export function createReadiness(options: ReadinessOptions): Readiness {
    const { configurationManager, serviceGuard, targets, loadView, clock } = options;
    let reportDeadline = clock.monotonicNow() + options.firstReportsMilliseconds;

    const haveAllReported = () => loadView.loads().length >= targets.engines().length;

    configurationManager.onVersion(() => {
        // A version whose engines have all reported does not extend the deadline.
        if (!haveAllReported()) {
            reportDeadline = Math.max(reportDeadline, clock.monotonicNow() + options.firstReportsMilliseconds);
        }
    });

    const isEngineWaitOver = () => haveAllReported() || clock.monotonicNow() >= reportDeadline;

    const isReady = () =>
        configurationManager.current().generation > 0 && serviceGuard.isInService() && isEngineWaitOver();

    return { isReady, isEngineWaitOver };
}
