import type { Engine } from "../../ports/engine.js";
import type { PlainService } from "../../ports/plainService.js";

/** Adapters to the targets of the active configuration, created on first use. */
export interface TargetDirectory {
    engine(targetName: string): Engine | undefined;
    plainService(targetName: string): PlainService | undefined;
    engines(): readonly Engine[];
    /** Address (host:port) of a target, whatever its kind. */
    findAddress(targetName: string): string | undefined;
}
