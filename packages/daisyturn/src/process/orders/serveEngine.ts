import type { ControllerTenure } from "./controllerTenure.js";
import { type OrderContext, StepResult } from "./orderContext.js";
import type { ChangeDriver } from "./steps/createChangeDriver.js";

const minBackOffMilliseconds = 500;
const maxBackOffMilliseconds = 2_000;

/** Performs the steps for one engine until nothing remains to be done or the tenure is over. */
export async function serveEngine(
    context: OrderContext,
    driver: ChangeDriver,
    tenure: ControllerTenure,
    engineId: string,
): Promise<void> {
    const { clock, records, settings } = context;
    let backOff = minBackOffMilliseconds;
    while (!tenure.isOver()) {
        const rows = await records.readEngine(engineId, clock.monotonicNow() + settings.callLimitMilliseconds);
        if (tenure.isOver()) {
            return;
        }
        const result = rows.isOk ? await driver.runNextStep(tenure, rows.value) : StepResult.BackOff;
        switch (result) {
            case StepResult.Idle:
                return;
            case StepResult.Progress:
                backOff = minBackOffMilliseconds;
                break;
            case StepResult.Wait:
                await clock.sleepUntil(clock.monotonicNow() + settings.pollIntervalMilliseconds, tenure.signal);
                break;
            case StepResult.BackOff:
                await clock.sleepUntil(clock.monotonicNow() + backOff, tenure.signal);
                backOff = Math.min(2 * backOff, maxBackOffMilliseconds);
                break;
        }
    }
}
