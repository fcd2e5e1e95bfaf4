import type { Engine } from "../../ports/engine.js";
import type { PlainService } from "../../ports/plainService.js";

/** Adapters to the targets of the configuration in force, made when a target first appears. */
export interface TargetDirectory {
    engine(targetName: string): Engine | undefined;
    plainService(targetName: string): PlainService | undefined;
    engines(): readonly Engine[];
}
