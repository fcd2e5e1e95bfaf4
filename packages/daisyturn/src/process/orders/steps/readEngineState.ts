import type { Engine, EngineState } from "../../../ports/engine.js";
import type { OrderContext } from "../orderContext.js";

/** Asks an engine for its state; undefined if it does not answer in time. */
export async function readEngineState(context: OrderContext, engine: Engine): Promise<EngineState | undefined> {
    const answer = await engine.readState(context.clock.monotonicNow() + context.settings.callLimitMilliseconds);
    return answer.isOk ? answer.value : undefined;
}
