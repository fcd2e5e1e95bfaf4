import type { Engine, EngineState } from "../../../ports/engine.js";
import type { OrderContext } from "../orderContext.js";

/** Requests the state of an engine; undefined if the engine does not answer in time. */
export async function readEngineState(context: OrderContext, engine: Engine): Promise<EngineState | undefined> {
    const answer = await engine.readState(context.clock.monotonicNow() + context.settings.callLimitMilliseconds);
    return answer.isOk ? answer.value : undefined;
}
